package catalog

import (
	"testing"
	"time"
)

func TestEarlierRequestIsNotAnsweredFromNewerVersion(t *testing.T) {
	var o AnswerOrder
	start := time.Unix(1000, 0)
	if !o.Allow(start.Add(450*time.Millisecond), 5) {
		t.Fatal("the first answer is refused")
	}
	if o.Allow(start, 7) {
		t.Error("a request that came 450 ms before another was answered after it, from a newer version")
	}
	if !o.Allow(start.Add(300*time.Millisecond), 7) {
		t.Error("concurrent requests are held to an order")
	}
	if !o.Allow(start, 5) || !o.Allow(start.Add(time.Second), 7) {
		t.Error("answers in order are refused")
	}
}

func TestAnswerOrderForgetsOldVersions(t *testing.T) {
	var o AnswerOrder
	for version := range int64(100) {
		o.Allow(time.Unix(1000+version, 0), version)
	}
	if len(o.latest) > maxVersions {
		t.Errorf("%d versions are remembered", len(o.latest))
	}
}
