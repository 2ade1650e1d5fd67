package workerapi

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		CPUMillis:    r.CPUMillis + o.CPUMillis,
		MemoryMB:     r.MemoryMB + o.MemoryMB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r without o; the result may be negative.
func (r Resources) Minus(o Resources) Resources { return r.Plus(o.Times(-1)) }

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{CPUMillis: n * r.CPUMillis, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}

// Fits reports whether r needs no more of anything than room has.
func (r Resources) Fits(room Resources) bool {
	return r.CPUMillis <= room.CPUMillis && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Negative reports whether any amount is below zero.
func (r Resources) Negative() bool {
	return r.CPUMillis < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
