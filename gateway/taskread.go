package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/workerapi"
)

// serveTask serves GET /v1/tasks/{id}?wait_ms=.
func (g *Gateway) serveTask(w http.ResponseWriter, r *http.Request) {
	task, problem := g.findTask(r)
	if problem != nil {
		problem.write(w)
		return
	}
	writeJSON(w, http.StatusOK, workerapi.OutcomeDone, viewOf(task))
}

// serveResult serves GET /v1/tasks/{id}/result.
func (g *Gateway) serveResult(w http.ResponseWriter, r *http.Request) {
	task, problem := g.findTask(r)
	if problem != nil {
		problem.write(w)
		return
	}
	if task.GetState() != controlpb.TaskState_TASK_STATE_DONE {
		notRun(http.StatusConflict, typeNoResult, "The task has no result",
			fmt.Sprintf("the task is %s; %s", stateNames[task.GetState()], resultRemedy(task))).write(w)
		return
	}
	h := w.Header()
	h.Set(headerContentType, contentTypeJSON)
	h.Set(headerContentLength, strconv.Itoa(len(task.GetResult())))
	h.Set(workerapi.HeaderOutcome, string(workerapi.OutcomeDone))
	w.Write(task.GetResult())
}

func resultRemedy(t *controlpb.Task) string {
	switch t.GetState() {
	case controlpb.TaskState_TASK_STATE_PENDING, controlpb.TaskState_TASK_STATE_BOUND:
		return "wait for its end with wait_ms"
	default:
		return "its reason: " + t.GetReason()
	}
}

// serveCancel serves DELETE /v1/tasks/{id}.
func (g *Gateway) serveCancel(w http.ResponseWriter, r *http.Request) {
	e, problem := readEnvelope(r.Header, taskDeadline)
	if problem == nil && !validToken(r.PathValue("id")) {
		problem = taskNotFound()
	}
	if problem != nil {
		problem.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.deadline)
	defer cancel()
	response, err := client.Call(ctx, g.control, "CancelTasks", 0, controlpb.Control.CancelTasks,
		&controlpb.CancelTasksRequest{Ids: []string{r.PathValue("id")}, Caller: e.caller})
	if err != nil {
		submitProblem(err).write(w)
		return
	}
	if len(response.GetTasks()) == 0 {
		taskNotFound().write(w)
		return
	}
	writeJSON(w, http.StatusAccepted, workerapi.OutcomeDone, viewOf(response.GetTasks()[0]))
}

func (g *Gateway) findTask(r *http.Request) (*controlpb.Task, *Problem) {
	wait, problem := readWait(r)
	if problem != nil {
		return nil, problem
	}
	if !validToken(r.PathValue("id")) {
		return nil, taskNotFound()
	}
	response, err := g.getTask(r.Context(), r.PathValue("id"), wait)
	if err != nil && wait > 0 && g.draining.Load() {
		response, err = g.getTask(r.Context(), r.PathValue("id"), 0)
	}
	if err != nil {
		return nil, notRun(http.StatusServiceUnavailable, typeControl, "The task could not be read",
			"retry later").after(defaultRetryAfter)
	}
	if !response.GetFound() {
		return nil, taskNotFound()
	}
	return response.GetTask(), nil
}

// getTask reads a task. Draining ends the wait for the end of the task.
func (g *Gateway) getTask(parent context.Context, id string, wait time.Duration) (*controlpb.GetTaskResponse, error) {
	ctx, cancel := context.WithTimeout(parent, taskDeadline+wait)
	defer cancel()
	if wait > 0 {
		ended := make(chan struct{})
		defer close(ended)
		go func() {
			select {
			case <-g.drained:
				cancel()
			case <-ended:
			}
		}()
	}
	return client.Call(ctx, g.control, "GetTask", wait, controlpb.Control.GetTask,
		&controlpb.GetTaskRequest{Id: id, WaitMs: wait.Milliseconds()})
}

func readWait(r *http.Request) (time.Duration, *Problem) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxTaskWait.Milliseconds() {
		return 0, invalid(fmt.Sprintf("wait_ms must be 0 to %d milliseconds", maxTaskWait.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func taskNotFound() *Problem {
	return notRun(http.StatusNotFound, typeNotFound, "The task does not exist",
		"correct the id; results are dropped after the retention time")
}
