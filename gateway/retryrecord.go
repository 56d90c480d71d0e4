package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/retrybudget"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// recordIntervalPerDaemon is the time between two writes of a daemon's record, per daemon
	// of the site: all daemons together write 200 records per second at most, half of the
	// store's rate.
	recordIntervalPerDaemon = 5 * time.Millisecond
	// recordTimeout is how long a write of a record may take before retries that have no
	// reservation are denied at once.
	recordTimeout = 300 * time.Millisecond
	// recordPollInterval is how often a request that waits for a record checks it again.
	recordPollInterval = 5 * time.Millisecond
	// minRecordRetryInterval is the shortest time until a failed write of a record is repeated.
	minRecordRetryInterval = 250 * time.Millisecond
)

// retryRecords keeps this daemon's use of the retry budget in its row of the table of
// members, so that a process that starts again continues from there. The row also keeps the
// contents that ended servers here, which all daemons that start read.
type retryRecords struct {
	c *control

	known    bool   // the row of the process before this one has been read
	revision uint64 // of this daemon's row; 0 if there is none
	firstRow time.Duration
	epoch    uint64
	// withheldUntil is until when this daemon may spend no slack.
	withheldUntil time.Time

	tableTime   time.Duration // reading of the table's clock
	tableTimeAt time.Time     // before that reading

	writing   bool
	writtenAt time.Time // when the last write began
	failedAt  time.Time // when a write last failed; zero if the last one succeeded
	retryAt   time.Time // when a failed write is repeated
	away      bool      // the table does not keep records in time
}

// retryRow is the part of a member's row that is about the retry budget.
type retryRow struct {
	Incarnation state.Incarnation  `json:"incarnation"` // of the process that wrote it
	Epoch       uint64             `json:"epoch"`       // of the table
	FirstRow    time.Duration      `json:"first"`       // when the daemon's first row was written, by the table's clock
	Use         retrybudget.Record `json:"use"`
	// Silent are the addresses of servers that may still read calls which this daemon has given up.
	Silent []string `json:"silent,omitempty"`
}

// parseMemberRow decodes a row of the table of members; a row that can't be decoded is empty.
func parseMemberRow(r site.Row) memberRow {
	var row memberRow
	if json.Unmarshal(r.Value, &row) != nil {
		return memberRow{}
	}
	return row
}

// tableRead is a reading of the table of members.
type tableRead struct {
	rows       site.Rows
	asked, got time.Time // when the call was made and answered
	own        memberRow // this daemon's row as it was read; empty if there is none
	revision   uint64    // of this daemon's row; 0 if there is none
}

// loaded applies a reading of the table of members, unless this daemon's row is the one
// that is known.
func (r *retryRecords) loaded(read *tableRead) {
	unchanged := r.known && read.revision == r.revision
	r.tableTime, r.tableTimeAt = read.rows.Now, read.asked
	r.revision, r.epoch = read.revision, read.rows.Epoch
	r.restoreCrashes(read)
	row := read.own.Retries
	ofThisProcess := r.known && row != nil && row.Incarnation == r.c.g.self.Incarnation
	if unchanged || ofThisProcess {
		return
	}
	r.known, r.firstRow, r.withheldUntil = true, read.rows.Now, time.Time{}
	switch {
	case row != nil && row.Epoch == read.rows.Epoch:
		r.firstRow = row.FirstRow
		r.c.g.shared.inheritRetries(r.c.now, read.rows.Now+r.c.now.Sub(read.got), row.Use, row.Silent)
		r.c.g.log.Emit(telemetry.EventRetriesInherited, telemetry.Count(row.Use.Reserved()), telemetry.Detail(strings.Join(row.Silent, " ")))
	case read.own != (memberRow{}) || r.siteIsOlder(read.rows):
		r.withheldUntil = r.c.g.startedAt.Add(r.window())
	}
}

// restoreCrashes applies what the table says of contents that ended servers.
func (r *retryRecords) restoreCrashes(read *tableRead) {
	tableNow := read.rows.Now + r.c.now.Sub(read.got)
	for _, other := range read.rows.Rows {
		row := parseMemberRow(other)
		if row.Crashes == nil || row.Retries == nil || row.Retries.Epoch != read.rows.Epoch {
			continue
		}
		r.c.g.shared.restoreCrashes(r.c.now, tableNow, *row.Crashes, other.Key == string(r.c.g.self.ID))
	}
	if read.own.Crashes == nil {
		r.c.g.shared.setCrashesUnrecorded()
	}
}

// siteIsOlder reports whether another daemon has been on the site for a window, so that the
// slack of the last window may be spent.
func (r *retryRecords) siteIsOlder(rows site.Rows) bool {
	return slices.ContainsFunc(rows.Rows, func(other site.Row) bool {
		if other.Key == string(r.c.g.self.ID) {
			return false
		}
		row := parseMemberRow(other).Retries
		return row == nil || row.Epoch != rows.Epoch || rows.Now-row.FirstRow >= r.window()
	})
}

func (r *retryRecords) window() time.Duration { return r.c.g.currentSettings().BudgetWindow }

// withheld reports whether this daemon may spend no slack now.
func (r *retryRecords) withheld() bool {
	if !r.known {
		return r.c.g.sinceStart(r.c.now) < r.window()
	}
	return r.c.now.Before(r.withheldUntil)
}

// tick writes a record if a service needs one.
func (r *retryRecords) tick() {
	r.observeTable()
	r.c.g.shared.expireLateCalls(r.c.now)
	if !r.due() {
		return
	}
	r.writing, r.writtenAt = true, r.c.now
	row := &retryRow{Incarnation: r.c.g.self.Incarnation, Epoch: r.epoch, FirstRow: r.firstRow}
	row.Silent = r.c.g.shared.recordSilentServers()
	row.Use = r.c.g.shared.newRetryRecord(r.c.now, r.tableNow(), r.services(), r.c.view.slackShare)
	go r.write(memberRow{
		Peers:   r.c.g.currentSettings().PeerAddress,
		Retries: row,
		Crashes: r.c.g.shared.newCrashRecord(r.c.now, r.tableNow()),
	}, r.revision)
}

// tableStates are the values of tableIsAway in logs.
var tableStates = map[bool]string{true: "away", false: "back"}

// observeTable applies whether the table keeps records in time.
func (r *retryRecords) observeTable() {
	away := r.tableIsAway()
	r.c.g.shared.setRecordsAway(away)
	if away != r.away {
		r.away = away
		r.c.g.log.Emit(telemetry.EventRetryRecords, telemetry.Detail(tableStates[away]))
	}
}

// tableNow returns the time of the table's clock, or a later one.
func (r *retryRecords) tableNow() time.Duration { return r.tableTime + r.c.now.Sub(r.tableTimeAt) }

// tableIsAway reports whether retries should not wait for records.
func (r *retryRecords) tableIsAway() bool {
	return !r.known || !r.failedAt.IsZero() || r.writing && r.c.now.Sub(r.writtenAt) >= recordTimeout
}

// due reports whether a record should be written now.
func (r *retryRecords) due() bool {
	if !r.known || r.writing || r.c.view.config == nil || r.c.now.Before(r.writableAt()) {
		return false
	}
	return r.c.g.shared.needsCrashRecord() || r.c.g.shared.needsSilentRecord(r.c.now) || r.c.g.shared.needsRetryRecord(r.c.now, r.services(), r.c.view.slackShare)
}

// writableAt returns when the next record may be written.
func (r *retryRecords) writableAt() time.Time {
	if !r.failedAt.IsZero() {
		return r.retryAt
	}
	return r.writtenAt.Add(r.minInterval())
}

// minInterval returns the time between two writes of this daemon.
func (r *retryRecords) minInterval() time.Duration {
	return time.Duration(r.c.view.slackShare.Daemons) * recordIntervalPerDaemon
}

// nextTick returns when the records have to be considered again; zero for never.
func (r *retryRecords) nextTick() time.Time {
	switch {
	case r.writing && r.c.now.Sub(r.writtenAt) < recordTimeout:
		return r.writtenAt.Add(recordTimeout)
	case !r.writing && r.known && r.c.view.config != nil && r.c.now.Before(r.writableAt()):
		return r.writableAt()
	}
	return time.Time{}
}

// services returns the services of the configuration.
func (r *retryRecords) services() []state.ServiceID {
	return slices.Sorted(maps.Keys(r.c.view.config.Services))
}

// write writes this daemon's row on the condition that it has a revision.
func (r *retryRecords) write(row memberRow, revision uint64) {
	g := r.c.g
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	value, err := json.Marshal(row)
	if err == nil {
		revision, err = g.site.Members.Commit(ctx, site.Change{Key: string(g.self.ID), Value: value, Conditional: true, Revision: revision})
	}
	var read *tableRead
	if errors.Is(err, site.ErrConflict) {
		read, err = g.readMembers(ctx)
	}
	r.c.post(func() { r.written(row, revision, err, read) })
}

// readMembers reads the table of members.
func (g *Gateway) readMembers(ctx context.Context) (*tableRead, error) {
	read := &tableRead{asked: time.Now()}
	var err error
	if read.rows, err = g.site.Members.Read(ctx); err != nil {
		return nil, err
	}
	read.got = time.Now()
	for _, r := range read.rows.Rows {
		if r.Key == string(g.self.ID) {
			read.own, read.revision = parseMemberRow(r), r.Revision
		}
	}
	return read, nil
}

// written applies the result of a write. A conflict means that a write whose answer was lost
// has taken effect since, of this process or of the one before it; read is then the table.
func (r *retryRecords) written(row memberRow, revision uint64, err error, read *tableRead) {
	r.writing = false
	if err != nil || read != nil {
		r.c.g.shared.setCrashesUnrecorded()
		r.c.g.shared.setSilentUnrecorded()
	}
	switch {
	case read != nil:
		r.loaded(read)
	case err == nil:
		r.revision, r.failedAt = revision, time.Time{}
		r.c.members.rowWritten = true
		r.c.g.shared.retryRecordWritten(slices.Collect(maps.Keys(row.Retries.Use.Services)))
	default:
		// All daemons would repeat their writes at the same time when the table is back.
		interval := max(r.minInterval(), minRecordRetryInterval)
		r.failedAt, r.retryAt = r.c.now, r.c.now.Add(interval+rand.N(interval))
		r.c.g.log.Emit(telemetry.EventStoreUnavailable, telemetry.Detail("retries"), telemetry.Cause(err))
	}
}

// setRecordsAway sets whether the table does not keep records of retries in time.
func (s *sharedState) setRecordsAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordsAway = away
}

// needsRetryRecord reports whether a reservation of a service is running out.
func (s *sharedState) needsRetryRecord(now time.Time, services []state.ServiceID, share retrybudget.SlackShare) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(services, func(svc state.ServiceID) bool { return s.budget.NeedsRecord(now, svc, share) })
}

func (s *sharedState) newRetryRecord(now time.Time, tableNow time.Duration, services []state.ServiceID, share retrybudget.SlackShare) retrybudget.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.NewRecord(now, tableNow, services, share)
}

func (s *sharedState) retryRecordWritten(services []state.ServiceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, svc := range services {
		s.budget.Written(svc)
	}
}

// retryPending reports whether a retry of a service waits for a record that the table is likely to
// keep in time.
func (s *sharedState) retryPending(now time.Time, svc state.ServiceID, share retrybudget.SlackShare) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.recordsAway && s.budget.Pending(now, svc, share)
}

// spendRetry takes a retry from the budget, and reports whether a new record is needed.
func (s *sharedState) spendRetry(now time.Time, svc state.ServiceID, share retrybudget.SlackShare) (grant retrybudget.Grant, spent, needsRecord bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant, spent = s.budget.Spend(now, svc, share)
	return grant, spent, s.budget.NeedsRecord(now, svc, share)
}

// Results of taking a retry from the budget, in metrics.
const (
	retryGranted    = "granted"
	retryUnreserved = "unreserved" // the allowance has some left, the records reserve none
	retryExhausted  = "exhausted"
)

// grantName names the result of taking a retry from the budget.
func (s *sharedState) grantName(now time.Time, svc state.ServiceID, share retrybudget.SlackShare, spent bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case spent:
		return retryGranted
	case s.budget.Pending(now, svc, share):
		return retryUnreserved
	}
	return retryExhausted
}

// spendRetry takes a retry from the budget of a service and reports whether there was one.
func (g *Gateway) spendRetry(now time.Time, svc state.ServiceID, share retrybudget.SlackShare) (retrybudget.Grant, bool) {
	grant, spent, needsRecord := g.shared.spendRetry(now, svc, share)
	if needsRecord {
		g.requestRetryRecord()
	}
	g.metrics.CountReason(telemetry.GatewayRetryGrantsTotal, g.shared.grantName(now, svc, share, spent))
	return grant, spent
}

// requestRetryRecord wakes the control goroutine, which writes a record if one is due.
func (g *Gateway) requestRetryRecord() {
	if g.recordRequested.CompareAndSwap(false, true) {
		g.control.post(func() { g.recordRequested.Store(false) })
	}
}

// awaitRetryRecord waits while a retry after an attempt depends only on a record that is
// being written.
func (r *requestHandler) awaitRetryRecord(ctx context.Context, outcome relay.Outcome) {
	if outcome == relay.NotSent {
		return
	}
	for waited := time.Duration(0); waited < 2*recordTimeout && ctx.Err() == nil; waited += recordPollInterval {
		if !r.g.shared.retryPending(time.Now(), r.service.ID, r.view.slackShare) {
			return
		}
		r.g.requestRetryRecord()
		sleep(ctx, recordPollInterval)
	}
}
