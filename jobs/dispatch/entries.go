package dispatch

import "geraniumwall/jobs"

// MaxEntryCommands is the number of commands that one entry of the log can hold. Only one
// decision that consists of more takes a larger entry.
const MaxEntryCommands = 512

// EntryLen returns how many of the queued proposals the next entry of the log holds: limit at
// most, and no part of a decision. An entry is in the log as a whole or not at all, so that no
// later leader finds half of a decision.
func EntryLen(queued []Proposal, limit int) int {
	n := min(len(queued), limit)
	if n == len(queued) {
		return n
	}
	for n > 0 && queued[n].Joined {
		n--
	}
	if n > 0 {
		return n
	}
	n = 1
	for n < len(queued) && queued[n].Joined {
		n++
	}
	return n
}

// propose adds a command for the log. onResult is called with its result.
func (d *Dispatcher) propose(command jobs.Command, onResult func(result jobs.Result, ok bool)) {
	d.commands = append(d.commands, Proposal{Command: command, OnResult: onResult})
}

// joinGangs marks the commands about the members of one gang as one decision. The commands
// are sorted by task.
func (d *Dispatcher) joinGangs(commands []Proposal) {
	for i := 1; i < len(commands); i++ {
		task, previous := commands[i].Command.Task(), commands[i-1].Command.Task()
		commands[i].Joined = stepKey(task) == stepKey(previous) && d.isGangMember(task)
	}
}

// isGangMember reports whether a task belongs to a gang.
func (d *Dispatcher) isGangMember(key jobs.TaskKey) bool {
	j := d.store.Job(key.Job)
	return j != nil && j.Task(key) != nil && j.Step(key).Gang
}
