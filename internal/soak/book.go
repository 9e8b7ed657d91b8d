package soak

import (
	"fmt"
	"sync"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// use tells how a call may be treated.
type use int

// The uses of calls.
const (
	// useRead may run any number of times.
	useRead use = iota
	// useOnce has no key and must not run twice.
	useOnce
	// useOrder has a key, may be sent again and must not run twice.
	useOrder
	// useProbe is sent until the fleet is ready and not judged.
	useProbe
)

// entry is what callers and upstreams saw of one call.
type entry struct {
	use  use
	runs int
	// ended holds the outcomes of its sends; an empty one stands for a send
	// without an answer.
	ended []proxy.Outcome
}

// book collects what was seen of all calls. It is safe for concurrent use.
type book struct {
	lock    sync.Mutex
	entries map[string]*entry
	// wrong lists broken promises.
	wrong []string
	good  int
	bad   int
}

func newBook() *book { return &book{entries: map[string]*entry{}} }

// begin opens a call's entry.
func (book *book) begin(path string, use use) {
	book.lock.Lock()
	defer book.lock.Unlock()
	if book.entries[path] == nil {
		book.entries[path] = &entry{use: use}
	}
}

// ran tells that an upstream got a call.
func (book *book) ran(path string) {
	book.lock.Lock()
	defer book.lock.Unlock()
	if entry := book.entries[path]; entry != nil {
		entry.runs++
		return
	}
	book.wrong = append(book.wrong, path+" ran but was never sent")
}

// end tells how a send ended.
func (book *book) end(path string, outcome proxy.Outcome, good bool) {
	book.lock.Lock()
	defer book.lock.Unlock()
	entry := book.entries[path]
	entry.ended = append(entry.ended, outcome)
	if good {
		book.good++
		return
	}
	book.bad++
}

// broken records a broken promise.
func (book *book) broken(format string, args ...any) {
	book.lock.Lock()
	defer book.lock.Unlock()
	book.wrong = append(book.wrong, fmt.Sprintf(format, args...))
}

// verdict compares what callers were told with what upstreams saw.
func (book *book) verdict() []string {
	book.lock.Lock()
	defer book.lock.Unlock()
	wrong := book.wrong
	for path, entry := range book.entries {
		if reason := entry.fault(); reason != "" {
			wrong = append(wrong, fmt.Sprintf("%s: %s (runs %d, sends %v)", path, reason, entry.runs, entry.ended))
		}
	}
	return wrong
}

// maxRuns bounds the tries of a read: those of the route's default, for each of
// its sends.
const maxRuns = 4

func (entry *entry) fault() string {
	allNotRun, ran := len(entry.ended) > 0, false
	for _, outcome := range entry.ended {
		allNotRun = allNotRun && outcome == proxy.OutcomeNotRun
		ran = ran || outcome == proxy.OutcomeRan
	}
	switch {
	case entry.use == useProbe:
		return ""
	case entry.use != useRead && entry.runs > 1:
		return "ran more than once"
	case entry.use == useRead && entry.runs > maxRuns*max(1, len(entry.ended)):
		return "was tried too often"
	case allNotRun && entry.runs > 0:
		return "ran though every answer said that it had not"
	case ran && entry.runs == 0:
		return "was answered but never ran"
	}
	return ""
}
