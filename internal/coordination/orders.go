package coordination

import (
	"github.com/gappond/gappond/internal/coordination/cluster"
	"github.com/gappond/gappond/internal/protocol"
	"github.com/gappond/gappond/internal/tuning"
)

// sendSoon marks a machine as having orders that should not wait for a report.
func (l *leader) sendSoon(m *cluster.Machine) {
	if !m.Delivery.Queued {
		m.Delivery.Queued = true
		l.directQueue = append(l.directQueue, m)
	}
}

// orders lists what a worker should do: forget first, for a task may come back
// to a machine that still holds its old attempt, then stop, then start.
func (l *leader) orders(m *cluster.Machine, inReply bool) []protocol.Command {
	var cmds []protocol.Command
	if m.Agent.TokenConfirmed {
		for _, t := range m.Agent.Exited {
			if l.reapable(m, t) && l.mayForget(m, t) {
				cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
	for _, k := range m.Delivery.Orphans {
		cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskName(k.Job, k.Index), Attempt: k.Number})
	}
	m.Delivery.Orphans = m.Delivery.Orphans[:0]
	list := cluster.SortedAttemptsOn(m)
	for _, c := range list {
		if !c.Stopping || !c.StartSent || c.Recovered && c.ReportedState == "" {
			continue // what a predecessor placed is stopped once a report shows it
		}
		if c.ReportedState == "" && (c.StartUnanswered || c.StartsInFlight > 0) {
			// The lost start may yet arrive. Once the worker holds the attempt,
			// a late copy of it does nothing: so start it and end it at once.
			cmds = append(cmds, l.startOrder(c, inReply))
		}
		if inReply || l.n.now.Sub(c.StopSentAt) > tuning.StopResend {
			c.StopSentAt = l.n.now
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: protocol.TaskName(c.Job.ID, c.Key.Index), Attempt: c.Key.Number, GraceS: c.GraceS})
		}
	}
	for _, c := range list {
		if c.Stopping || !c.Committed || c.ReportedState != "" || c.Recovered {
			continue
		}
		if c.Job.Spec.Gang() && (len(c.Job.Write.Dirty) > 0 || c.Job.Write.InFlight) {
			continue // not every task's place is written yet
		}
		if !inReply && (c.StartsInFlight > 0 || c.StartInResponse || !l.n.cfg.Operator.DirectStarts) {
			continue
		}
		if inReply && c.StartsInFlight > 0 && l.n.now.Sub(c.StartSentAt) < tuning.OrderOnWay {
			continue // the report was sent before the order came
		}
		if m.Cordoned || m.Deleting {
			l.Stop(c, 0)
			continue
		}
		cmds = append(cmds, l.startOrder(c, inReply))
	}
	if len(cmds) > tuning.OrdersAtOnce {
		cmds = cmds[:tuning.OrdersAtOnce]
	}
	for _, cmd := range cmds {
		l.recovery.Ordered(cmd.Op)
	}
	return cmds
}

func (l *leader) startOrder(c *cluster.Attempt, inReply bool) protocol.Command {
	l.n.log.Debug("start", "job", c.Job.ID, "task", c.Key.Index, "attempt", c.Key.Number, "machine", c.Machine.ID, "direct", !inReply)
	if !c.StartSent {
		l.n.metrics.Starts++
		l.n.metrics.WaitSeconds = append(l.n.metrics.WaitSeconds, l.n.now.Sub(c.Job.SubmittedAt).Seconds())
	}
	c.StartSent = true
	if inReply {
		c.StartInResponse = true
	}
	c.Machine.UseImage(c.Job.Spec, l.cluster.TypeOf(c.Machine))
	return protocol.Command{Op: protocol.OpStart, Task: protocol.TaskName(c.Job.ID, c.Key.Index), Attempt: c.Key.Number}
}

// reapable says whether an exited attempt may be forgotten: what it achieved
// is stored, and no late start of it can arrive.
func (l *leader) reapable(m *cluster.Machine, t protocol.TaskReport) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := cluster.AttemptID{Job: id, Index: index, Number: t.Attempt}
	if m.Delivery.Pinned[key] || m.Attempts[key] != nil || l.unreadable[id] {
		return false
	}
	j := l.cluster.Jobs[id]
	if j == nil || index >= len(j.Tasks) {
		return true
	}
	return t.Cause != protocol.CauseDone || !j.Write.InFlight && !j.Write.Dirty[j.RecordOf(index)]
}

// mayForget says whether a worker is to be told to forget an exited attempt: not again
// while it may have yet to report that it has, unless the task is to start there anew.
func (l *leader) mayForget(m *cluster.Machine, t protocol.TaskReport) bool {
	id, index, _ := protocol.SplitTask(t.Task)
	key := cluster.AttemptID{Job: id, Index: index, Number: t.Attempt}
	for other := range m.Attempts {
		if other.Job == id && other.Index == index {
			return true
		}
	}
	if l.n.now.Sub(m.Delivery.ForgetSentAt[key]) < tuning.StopResend {
		return false
	}
	m.Delivery.ForgetSentAt[key] = l.n.now
	return true
}

// sendDirect sends orders that should not wait for the next report.
func (l *leader) sendDirect() {
	if !l.n.mayAct() {
		return
	}
	now := l.n.now
	list := l.directQueue
	l.directQueue = nil
	for _, m := range list {
		m.Delivery.Queued = false
		if m.Deleting || l.cluster.Machines[m.ID] != m || !m.Agent.Heard {
			continue
		}
		if m.Delivery.InFlight || m.Address == "" || now.Before(m.Delivery.NotBefore) || !l.cluster.HeardRecently(m) || !l.mayCall(false) {
			l.sendSoon(m)
			continue
		}
		if cmds := l.orders(m, false); len(cmds) > 0 {
			l.direct(m, cmds)
		}
	}
}

// presentToken shows the token to a worker with tasks that has not reported to
// this leader, if there is time: most of them report by themselves.
func (l *leader) presentToken(m *cluster.Machine) {
	if !m.Agent.Heard && m.Agent.Incarnation > 0 && !m.Delivery.InFlight && !m.Deleting && m.Address != "" && !l.n.now.Before(m.Delivery.NotBefore) && l.mayCall(true) {
		l.direct(m, nil)
	}
}

func (l *leader) direct(m *cluster.Machine, cmds []protocol.Command) {
	var starts []*cluster.Attempt
	for _, cmd := range cmds {
		if cmd.Op != protocol.OpStart {
			continue
		}
		id, index, _ := protocol.SplitTask(cmd.Task)
		if c := m.Attempts[cluster.AttemptID{Job: id, Index: index, Number: cmd.Attempt}]; c != nil {
			c.StartsInFlight++
			c.StartSentAt = l.n.now
			starts = append(starts, c)
		}
	}
	m.Delivery.InFlight = true
	body := protocol.Orders{Token: l.n.lease.term, Incarnation: m.Agent.Incarnation, Commands: cmds}
	l.call(m, "POST", protocol.PathOrders, body, func(status int, body []byte) {
		m.Delivery.InFlight = false
		for _, c := range starts {
			c.StartsInFlight--
			if status != 200 && status != 409 {
				// It may arrive at any later time while session and token match.
				c.StartUnanswered = true
				m.Delivery.Pinned[c.ID()] = true
			}
		}
		if status != 200 && status != 409 {
			m.Agent.UnseenAnswers = max(m.Agent.UnseenAnswers, 1)
			m.Delivery.NotBefore = l.n.now.Add(tuning.StopResend)
			switch {
			case !m.Agent.Heard:
				m.Delivery.NotBefore = l.n.now.Add(l.cluster.SilenceTimeout()) // others have their turn
			case len(m.Attempts) > 0:
				l.sendSoon(m)
			}
			return
		}
		l.takeAnswer(m, body)
		if status == 409 {
			m.Delivery.NotBefore = l.n.now.Add(tuning.StopResend)
			l.sendSoon(m)
		}
	})
}

// takeAnswer takes the report that a worker gave as an answer.
func (l *leader) takeAnswer(m *cluster.Machine, body []byte) {
	r, err := protocol.ParseReport(body)
	if err != nil || r.Machine != m.ID {
		l.n.log.Error("a worker's answer is no report of its own", "machine", m.ID, "error", err)
		return
	}
	if r.Token > l.n.lease.term {
		l.refuseHigherToken(r)
		return
	}
	l.report(r, false)
}
