package faults

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// epollWaitNumber is the number of a system call that has another name on other architectures.
const epollWaitNumber = unix.SYS_EPOLL_WAIT

// registers holds the registers of a thread that is stopped at the entry to a system call or at the exit from it.
type registers struct {
	values syscall.PtraceRegs
}

// readRegisters returns the registers of a stopped thread.
func readRegisters(threadID int) (*registers, error) {
	r := &registers{}
	return r, syscall.PtraceGetRegs(threadID, &r.values)
}

// store writes the registers back to the stopped thread.
func (r *registers) store(threadID int) error { return syscall.PtraceSetRegs(threadID, &r.values) }

// callNumber returns the number of the system call. It is valid at the entry only.
func (r *registers) callNumber() uint64 { return r.values.Orig_rax }

// firstArgument returns the first argument of the system call. It is valid at the entry only.
func (r *registers) firstArgument() uint64 { return r.values.Rdi }

// thirdArgument returns the third argument of the system call.
func (r *registers) thirdArgument() uint64 { return r.values.Rdx }

// setThirdArgument replaces the third argument of the system call.
func (r *registers) setThirdArgument(value uint64) { r.values.Rdx = value }

// setResult replaces the result of the system call. It has an effect at the exit only.
func (r *registers) setResult(value int64) { r.values.Rax = uint64(value) }

// skipCall makes the kernel skip the system call at whose entry the thread is stopped.
func (r *registers) skipCall(threadID int) error {
	r.values.Orig_rax = noSyscall
	return r.store(threadID)
}
