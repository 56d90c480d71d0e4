package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/transport/front"
)

// work is one request of the demo, and what its caller has to see.
type work struct {
	Service  state.ServiceID  `json:"service"`
	Customer state.CustomerID `json:"customer"`
	Class    state.ClassID    `json:"class"`
	Prompt   string           `json:"prompt"`

	key string
}

// result is what a caller got: tokens by index, and how it ended.
type result struct {
	tokens []front.Token
	end    front.End
	status int // of a refusal before the stream
}

const callTimeout = 15 * time.Second

// call sends one request to the daemon at base and reads its answer to the end.
func call(ctx context.Context, base string, w work) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(w)
	if err != nil {
		return result{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return result{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", w.key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return result{status: res.StatusCode}, nil
	}
	return readAnswer(res)
}

// readAnswer reads the events of one stream.
func readAnswer(res *http.Response) (result, error) {
	var r result
	event := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == front.EventToken:
			var t front.Token
			if err := json.Unmarshal([]byte(value), &t); err != nil {
				return r, err
			}
			r.tokens = append(r.tokens, t)
		case name == "data" && event == front.EventEnd:
			return r, json.Unmarshal([]byte(value), &r.end)
		}
	}
	return r, fmt.Errorf("stream ended early: %w", lines.Err())
}
