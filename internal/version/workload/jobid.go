package workload

import "strings"

// jobIDLength is the length of a job's id in hexadecimal digits.
const jobIDLength = 16

// InvalidJobID tells a caller why an id is not a valid job id.
const InvalidJobID = "the id is not 16 hexadecimal digits"

// ValidJobID reports whether a string is a valid job id.
func ValidJobID(id string) bool {
	return len(id) == jobIDLength && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// JobIDAt returns the job id at the end of a path, whatever the prefix of the job's queue,
// or "" if the path does not end in one.
func JobIDAt(path string) string {
	id := path[max(0, len(path)-jobIDLength):]
	if !ValidJobID(id) {
		return ""
	}
	return id
}
