package proto

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// MaxHopTimeout limits a call if its entry node sends no timeout. It is also
// the largest timeout that a request may ask for.
const MaxHopTimeout = 10 * time.Minute

// ReasonUnreachable is the reason with which a gate refuses a call if no connection
// to the upstream could be made.
const ReasonUnreachable = "the upstream cannot be reached"

// FormatMilliseconds formats a remaining duration in milliseconds, at least 1.
func FormatMilliseconds(left time.Duration) string {
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// ReadMilliseconds reads a duration in milliseconds. It returns zero if the text has
// another form.
func ReadMilliseconds(text []byte) time.Duration {
	if len(text) == 0 {
		return 0
	}
	milliseconds, err := strconv.Atoi(string(text))
	if err != nil || milliseconds < 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// FormatRate formats a number of calls per second for the header HeaderLimit.
func FormatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', -1, 64) }

// FormatInstance formats the ID and the start time of an upstream for the header
// HeaderInstance.
func FormatInstance(id string, born int64) string { return strconv.FormatInt(born, 10) + "/" + id }

// ParseInstance reads the header HeaderInstance. It returns false if the text has
// another form.
func ParseInstance(text string) (id string, born int64, ok bool) {
	bornText, id, found := strings.Cut(text, "/")
	if !found {
		return "", 0, false
	}
	born, err := strconv.ParseInt(bornText, 10, 64)
	return id, born, err == nil
}

// FormatCold formats a forecast for the header HeaderCold.
func FormatCold(forecast warmup.Forecast) string {
	return FormatMilliseconds(forecast.Left) + "/" + FormatRate(forecast.PerSecond)
}

// ParseCold reads the header HeaderCold. It returns the zero value, a target that is not
// paced, if the text has another form.
func ParseCold(text string) warmup.Forecast {
	leftText, rateText, found := strings.Cut(text, "/")
	if !found {
		return warmup.Forecast{}
	}
	left := ReadMilliseconds([]byte(leftText))
	perSecond, err := strconv.ParseFloat(rateText, 64)
	if err != nil || !(perSecond > 0) || left == 0 {
		return warmup.Forecast{}
	}
	return warmup.Forecast{Left: left, PerSecond: perSecond}
}

// clockBase is the base of the numbers in the headers HeaderSent and HeaderClock, which
// are part of every exchange between nodes.
const clockBase = 36

// UnknownSent is the value of the header HeaderSent if the receiver's clock is not known.
const UnknownSent = "-"

// FormatSent formats a time on the clock of the given incarnation for the header
// HeaderSent.
func FormatSent(incarnation uint64, at time.Duration) string {
	return strconv.FormatUint(incarnation, clockBase) + "/" + strconv.FormatInt(at.Microseconds(), clockBase)
}

// ParseSent reads the header HeaderSent. It returns false if the time is unknown or the
// text has another form.
func ParseSent(text []byte) (incarnation uint64, at time.Duration, ok bool) {
	incarnationText, atText, found := strings.Cut(string(text), "/")
	if !found {
		return 0, 0, false
	}
	incarnation, err := strconv.ParseUint(incarnationText, clockBase, 64)
	at, ok = parseMicroseconds(atText)
	return incarnation, at, ok && err == nil
}

// FormatClock formats the times of a request and its response for the header HeaderClock.
func FormatClock(incarnation uint64, arrived, responded time.Duration) string {
	return FormatSent(incarnation, arrived) + "/" + strconv.FormatInt(responded.Microseconds(), clockBase)
}

// ParseClock reads the header HeaderClock. It returns false if the text has another form.
func ParseClock(text []byte) (incarnation uint64, arrived, responded time.Duration, ok bool) {
	end := bytes.LastIndexByte(text, '/')
	if end < 0 {
		return 0, 0, 0, false
	}
	incarnation, arrived, ok = ParseSent(text[:end])
	responded, timeOK := parseMicroseconds(string(text[end+1:]))
	return incarnation, arrived, responded, ok && timeOK
}

func parseMicroseconds(text string) (time.Duration, bool) {
	microseconds, err := strconv.ParseInt(text, clockBase, 64)
	if err != nil || microseconds > math.MaxInt64/1000 || microseconds < math.MinInt64/1000 {
		return 0, false
	}
	return time.Duration(microseconds) * time.Microsecond, true
}

// ReadWarmUp reads from the header with the given name for how long an upstream stays
// cold. It returns false if the response does not say so in a readable form.
func ReadWarmUp(response *fasthttp.Response, name string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseFloat(string(bytes.TrimSpace(response.Header.Peek(name))), 64)
	if err != nil || !(milliseconds >= 0) {
		return 0, false
	}
	return time.Duration(min(milliseconds, maxWarmUpMs) * float64(time.Millisecond)), true
}

// maxWarmUpMs keeps a warm-up time within the range of time.Duration.
const maxWarmUpMs = 1e9

// DropStatement removes the headers by which a gate passes on what its upstream
// states about itself. An upstream may have set them, and callers must not get them.
func DropStatement(header *fasthttp.ResponseHeader) {
	header.Del(proxy.HeaderLimit)
	header.Del(proxy.HeaderLeaving)
	header.Del(proxy.HeaderInstance)
	header.Del(proxy.HeaderCold)
}
