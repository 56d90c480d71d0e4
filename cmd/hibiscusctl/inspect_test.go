package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const statusResponse = `{"daemon":"g1","ready":true,"streams":3,"config":{"version":7,"age_seconds":0.4,"source":"by_peers"},
"lease":{"held":true,"fence":5,"orders_under_way":1},"members":[{"id":"g1","state":"alive"}],
"services":[{"id":"llm","layers":8,"uncovered":4,"whole":["a"],"retries_left":9,"copies":{"4-8":0,"0-4":2},
"servers":[{"id":"e1","address":"e:1","layers":"0-4","dead":true},{"id":"e2","address":"e:2","draining":true}],
"shares":{"contended":true,"age_seconds":0.3,"daemons":4,"total":9000,"share":2500,"customers":[{"customer":"news","used":4000,"share":2500,"excess":0.6}]}}]}`

func TestInspect(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(statusResponse))
	}))
	defer srv.Close()
	var out, errOut bytes.Buffer
	address := strings.TrimPrefix(srv.URL, "http://")
	if code := run(context.Background(), []string{"hibiscusctl", "inspect", address}, &out, &errOut); code != 0 {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	for _, want := range []string{"version 7", "fencing number 5", "copies 0-4:2 4-8:0", "dead", "leaving", "9 retries left",
		"9000 tokens admitted lately at 4 daemons", "news", "0.60"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in:\n%s", want, out.String())
		}
	}
	if code := run(context.Background(), []string{"hibiscusctl", "inspect", "127.0.0.1:1"}, &out, &errOut); code != exitFailed {
		t.Errorf("unreachable gateway: exit code %d", code)
	}
	if code := run(context.Background(), []string{"hibiscusctl", "inspect"}, &out, &errOut); code != exitBadInput {
		t.Errorf("missing gateway address: exit code %d", code)
	}
}
