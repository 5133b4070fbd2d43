package memory

// Limits divide the memory of a process.
type Limits struct {
	Runtime int64 // limit of the Go runtime, for debug.SetMemoryLimit
	Clients int   // capacity of the account of clients
}

// What the process takes beside the Go heap, in bytes.
const (
	filePagesGrowth  = 2 << 20   // pages of the program that are read only after the start
	otherAnonymous   = 1 << 20   // data sections and the C library
	collectionMargin = 3 << 19   // by which the heap may pass the runtime's limit for a moment
	runtimeAndState  = 9 << 19   // the runtime's own records, stacks, searchers and what the decisions keep
	leastRuntime     = 6 << 20   // below this the collector would run all the time
	leastClients     = 512 << 10 // lets a few clients ask at a time
)

// Divide divides the memory limit of a process whose file pages take the given number of bytes at its start. The
// account of clients gets half of what the runtime and the gatherer's state leave: the other half is garbage that is not
// collected yet.
func Divide(limit, filePages int64) Limits {
	runtime := max(limit-filePages-filePagesGrowth-otherAnonymous-collectionMargin, leastRuntime)
	return Limits{Runtime: runtime, Clients: int(max((runtime-runtimeAndState)/2, leastClients))}
}
