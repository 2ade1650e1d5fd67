package e2e_test

import (
	"context"
	"fmt"
	"os/exec"
	"time"
)

const examplePath = "../examples/lichtdach"

// applyExample prints the Lichtdach configuration with the operators' library and
// applies it with geranium.
func (f *fleet) applyExample() error {
	document, err := exec.Command("go", "run", examplePath).Output()
	if err != nil {
		return fmt.Errorf("print the configuration: %w", err)
	}
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err = f.geranium(document, "apply", "-comment", "first configuration", "-change", "first", "-base", "0", "-")
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(readyInterval)
	}
}

// activeScheduler returns the process that is active in a domain.
func (f *fleet) activeScheduler(ctx context.Context, domain string) (*process, error) {
	status, err := f.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, s := range status.Schedulers {
		for _, p := range f.schedulers[domain] {
			if s.Domain == domain && s.Role == "active" && s.Scheduler == p.name {
				return p, nil
			}
		}
	}
	return nil, fmt.Errorf("domain %s has no active scheduler: %+v", domain, status.Schedulers)
}

// leader returns the control replica that leads the log.
func (f *fleet) leader(ctx context.Context) (*process, error) {
	status, err := f.client.Status(ctx)
	if err != nil {
		return nil, err
	}
	id := status.Control.GetLeader()
	if id == 0 || int(id) > len(f.controls) {
		return nil, fmt.Errorf("no leader among the control replicas")
	}
	return f.controls[id-1], nil
}
