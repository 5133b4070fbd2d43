package memory

import (
	"os"
	"strconv"
	"strings"
)

// usualFilePages is what FilePages returns if the system does not tell, in bytes: the program's code and its libraries.
const usualFilePages = 20 << 20

// FilePages returns how many bytes of files the process has in memory: its own code and its libraries.
func FilePages() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return usualFilePages
	}
	fields := strings.Fields(string(text))
	const sharedField = 2 // resident pages that belong to files
	if len(fields) <= sharedField {
		return usualFilePages
	}
	pages, err := strconv.ParseInt(fields[sharedField], 10, 64)
	if err != nil || pages <= 0 {
		return usualFilePages
	}
	return pages * int64(os.Getpagesize())
}
