package faults

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// epollWaitNumber is the number of the system call that stands in for one that arm64 lacks.
const epollWaitNumber = unix.SYS_EPOLL_PWAIT

// Register sets of ptrace(2).
const (
	generalRegisters   = 1     // NT_PRSTATUS
	systemCallRegister = 0x404 // NT_ARM_SYSTEM_CALL: the number of the system call that is about to be made
)

// Registers of the system call convention, as indexes of PtraceRegsArm64.Regs.
const (
	firstArgumentRegister = 0 // holds the result at the exit
	thirdArgumentRegister = 2
	callNumberRegister    = 8
)

// registers holds the registers of a thread that is stopped at the entry to a system call or at the exit from it.
type registers struct {
	values unix.PtraceRegsArm64
}

// readRegisters returns the registers of a stopped thread.
func readRegisters(threadID int) (*registers, error) {
	r := &registers{}
	return r, unix.PtraceGetRegSetArm64(threadID, generalRegisters, &r.values)
}

// store writes the registers back to the stopped thread.
func (r *registers) store(threadID int) error {
	return unix.PtraceSetRegSetArm64(threadID, generalRegisters, &r.values)
}

// callNumber returns the number of the system call. It is valid at the entry only.
func (r *registers) callNumber() uint64 { return r.values.Regs[callNumberRegister] }

// firstArgument returns the first argument of the system call. It is valid at the entry only.
func (r *registers) firstArgument() uint64 { return r.values.Regs[firstArgumentRegister] }

// thirdArgument returns the third argument of the system call.
func (r *registers) thirdArgument() uint64 { return r.values.Regs[thirdArgumentRegister] }

// setThirdArgument replaces the third argument of the system call.
func (r *registers) setThirdArgument(value uint64) { r.values.Regs[thirdArgumentRegister] = value }

// setResult replaces the result of the system call. It has an effect at the exit only.
func (r *registers) setResult(value int64) { r.values.Regs[firstArgumentRegister] = uint64(value) }

// skipCall makes the kernel skip the system call at whose entry the thread is stopped. The kernel reads the number of
// the call from a register set of its own, not from the general registers.
func (r *registers) skipCall(threadID int) error {
	number := int32(-1)
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	_, _, errno := syscall.Syscall6(syscall.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(threadID), systemCallRegister,
		uintptr(unsafe.Pointer(&vector)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}
