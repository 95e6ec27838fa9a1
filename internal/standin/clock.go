package standin

// ClockStartMS returns what the clock of a worker shows as its incarnation starts, given
// the incarnation's number in the test: 17 minutes to 2.5 hours, in no order.
func ClockStartMS(incarnation int) int64 {
	return 1_000_003 + int64(incarnation)*3_000_017%8_000_000
}
