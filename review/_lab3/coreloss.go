package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// coreLoss lets a machine of the core be away for 4 s with its disk, and another one lose its
// disk meanwhile, and looks whether a configuration is acknowledged again and what was
// acknowledged is read back. It is no case: it looks for faults.
func coreLoss(l *lab) (int, error) {
	r := route{name: "desk", maxAttempts: 4}
	version := 1
	if err := l.configure(version, []route{r}); err != nil {
		return notRun, err
	}
	time.Sleep(6 * time.Second)
	result := held
	for round := 0; round < 4; round++ {
		order := rand.Perm(len(l.cores))
		away, wiped := l.cores[order[0]], l.cores[order[1]]
		if p := l.leader(); p != nil && rand.Intn(3) == 0 && p != away {
			wiped = p
		}
		gap := time.Duration(rand.Intn(4500)) * time.Millisecond
		form := []string{"freeze", "term", "kill"}[rand.Intn(3)]
		all := rand.Intn(4) == 0
		l.rec.log("round %d: %s is away (%s), %v later %s loses its disk, all lose power: %v", round, away.name, form, gap, wiped.name, all)
		switch form {
		case "freeze":
			l.signal(away, syscall.SIGSTOP)
		case "term":
			l.signal(away, syscall.SIGTERM)
		default:
			l.signal(away, syscall.SIGKILL)
		}
		began := time.Now()
		time.Sleep(gap)
		down := []*process{wiped}
		if all {
			for _, p := range l.cores {
				if p != away && p != wiped {
					down = append(down, p)
				}
			}
		}
		for _, p := range down {
			l.signal(p, syscall.SIGKILL)
		}
		for _, p := range down {
			<-p.exited
		}
		if err := l.wipe(wiped); err != nil {
			return notRun, err
		}
		time.Sleep(time.Second)
		for _, p := range down {
			if err := l.start(p); err != nil {
				return notRun, err
			}
		}
		if rest := 4*time.Second - time.Since(began); rest > 0 {
			time.Sleep(rest)
		}
		if form == "freeze" {
			l.signal(away, syscall.SIGCONT)
		} else {
			<-away.exited
			if err := l.start(away); err != nil {
				return notRun, err
			}
		}
		back := time.Now()
		// recovery_s is 12.
		time.Sleep(12 * time.Second)
		for _, node := range l.control {
			status, body, err := call("GET", "http://"+node+"/config", "", nil, callWithin)
			var c struct {
				Version int `json:"version"`
			}
			_ = json.Unmarshal(body, &c)
			l.rec.log("configuration read from %s: %d version %d %v", node, status, c.Version, err)
			if status == 200 && c.Version != version {
				result = broken
				l.rec.log("BROKEN: version %d was acknowledged", version)
			}
		}
		version++
		r.timeout = 3000 + version
		if err := l.configure(version, []route{r}); err != nil {
			l.rec.log("BROKEN: no configuration is acknowledged %v after all are back", time.Since(back).Round(time.Second))
			return broken, nil
		}
		l.rec.log("acknowledged %v after all are back", time.Since(back).Round(time.Millisecond))
		time.Sleep(time.Duration(3000+rand.Intn(4000)) * time.Millisecond)
	}
	return result, nil
}

// wipe empties the disk of a process and lets it start as one that isn't new to the system.
func (f *fleet) wipe(p *process) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(data, &settings); err != nil {
		return err
	}
	settings["first_start"] = false
	if data, err = json.Marshal(settings); err != nil {
		return err
	}
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		return err
	}
	if dir := filepath.Join(f.dir, p.name); settings["data_dir"] != dir {
		return fmt.Errorf("unexpected folder of %s", p.name)
	}
	return os.RemoveAll(filepath.Join(f.dir, p.name))
}
