package standin

// BeforeHead is the crash point before the response header: the server crashes without sending any part of its answer.
const BeforeHead = -1

// crashPoint reports whether the process crashes while it runs a request with this body, and after how many events.
func (s *ModelServer) crashPoint(body string) (events int, ends bool) {
	if s.CrashPoint == nil {
		return 0, false
	}
	return s.CrashPoint(body)
}

// endProcess ends the process and aborts the answer in progress.
func (s *ModelServer) endProcess(body string) {
	s.OnCrash(body)
	abortConnection()
}
