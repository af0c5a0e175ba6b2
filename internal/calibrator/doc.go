// Package calibrator learns by measurement how long the targets of a service take: the fixed time of a prefill and its time per
// token, the pace of answers, the duration of plain calls, and what each target deviates from that. It does no I/O and reads no
// clock.
package calibrator
