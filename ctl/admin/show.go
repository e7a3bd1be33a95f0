package admin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

func (a *Admin) newTable(header string) *tabwriter.Writer {
	w := tabwriter.NewWriter(a.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	return w
}

// Status prints the state cluster, the lease holders, the evacuations and the
// versions.
func (a *Admin) Status(ctx context.Context) error {
	answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return err
	}
	s := answer.GetStatus()
	if a.JSON {
		return a.printProto(s)
	}
	fmt.Fprintf(a.Out, "leader %s  term %d  commit %d  change %d  revision %d\n",
		s.GetLeader(), s.GetTerm(), s.GetCommit(), s.GetNumber(), s.GetRevision())
	w := a.newTable("MEMBER\tADDRESS\tVOTER\tALIVE\tMATCH")
	for _, p := range s.GetPeers() {
		fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\n", p.GetName(), p.GetAddr(), p.GetVoter(), p.GetAlive(), p.GetMatch())
	}
	_ = w.Flush()
	w = a.newTable("LEASE HOLDER\tZONE\tINCARNATION\tREVISION\tLEFT")
	for _, h := range s.GetHolders() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d ms\n", h.GetName(), h.GetZone(), h.GetIncarnation(), h.GetRevision(), h.GetLeft())
	}
	_ = w.Flush()
	return a.printVersionsAndMembers(ctx)
}

func (a *Admin) printVersionsAndMembers(ctx context.Context) error {
	view, _, err := a.currentConfig(ctx)
	if err != nil {
		return err
	}
	a.printEvacuations(view)
	w := a.newTable("MODEL\tVERSION\tSTATE")
	for _, key := range view.Keys() {
		name, ok := strings.CutPrefix(key, conf.ModelsPrefix)
		if !ok {
			continue
		}
		m := ident.Model(name)
		for _, v := range view.Models[m].Versions {
			fmt.Fprintf(w, "%s\t%s\t%s\n", m, v, versionState(view, ident.Target{Model: m, Version: v}))
		}
	}
	_ = w.Flush()
	w = a.newTable("BACKEND SERVER\tADDRESS\tZONE\tPRESENCE\tSERVICE")
	for _, key := range view.Keys() {
		if name, ok := strings.CutPrefix(key, conf.MembersPrefix); ok {
			m := view.Members[ident.Backend(name)]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", name, m.Addr, m.Zone, m.Presence, m.Service)
		}
	}
	return w.Flush()
}

func versionState(view *conf.View, t ident.Target) string {
	if withdrawal, ok := view.Withdrawn[t]; ok {
		return strings.TrimSpace("withdrawn " + withdrawal.Reason)
	}
	r, ok := view.Rollouts[t.Model]
	switch {
	case ok && r.To == t.Version:
		return strings.TrimSpace(fmt.Sprintf("roll-out %s, share %g %s", r.Phase, r.Share(), r.Reason))
	case slices.Index(view.Models[t.Model].Versions, t.Version) == len(view.Models[t.Model].Versions)-1 && (!ok || r.Phase == conf.RolloutFinished):
		return "preferred"
	}
	return "serving"
}

const pageSize = 1000 // records of one query

// Audit prints at most limit records of the audit trail, starting after an
// index; a limit of zero means all.
func (a *Admin) Audit(ctx context.Context, after uint64, limit int) error {
	var list []proto.Message
	for limit == 0 || len(list) < limit {
		n := pageSize
		if limit > 0 {
			n = min(pageSize, limit-len(list))
		}
		answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Audit{Audit: &wire.AuditQuery{After: after, Limit: uint32(n)}}})
		if err != nil {
			return err
		}
		for _, r := range answer.GetAudits() {
			list = append(list, r)
			after = r.GetIndex()
		}
		if len(answer.GetAudits()) < n {
			break
		}
	}
	if a.JSON {
		return a.printLines(list)
	}
	w := a.newTable("INDEX\tTIME\tACTOR\tACTION\tSUBJECT\tOUTCOME\tREVISION\tNOTE")
	for _, m := range list {
		r := m.(*wire.Audit)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.GetIndex(), formatTime(r.GetTime()), r.GetActor(), r.GetAction(),
			r.GetSubject(), r.GetOutcome(), r.GetRevision(), r.GetNote())
	}
	return w.Flush()
}

func formatTime(ms uint64) string { return time.UnixMilli(int64(ms)).UTC().Format(time.RFC3339) }

func (a *Admin) printLines(list []proto.Message) error {
	for _, m := range list {
		if err := a.printProto(m); err != nil {
			return err
		}
	}
	return nil
}

// Bills prints the bills that the cluster keeps in full, starting after an
// index. An empty customer means all customers.
func (a *Admin) Bills(ctx context.Context, customer ident.Customer, after uint64) error {
	var list []*wire.Bill
	for {
		q := &wire.BillsQuery{Customer: string(customer), After: after, Limit: pageSize}
		answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Bills{Bills: q}})
		if err != nil {
			return err
		}
		list = append(list, answer.GetBills()...)
		if len(answer.GetBills()) < pageSize {
			break
		}
		after = list[len(list)-1].GetIndex()
	}
	if a.JSON {
		var messages []proto.Message
		for _, b := range list {
			messages = append(messages, b)
		}
		return a.printLines(messages)
	}
	w := a.newTable("TIME\tREQUEST\tCUSTOMER\tBILL\tMODELS\tINPUT\tOUTPUT\tCOST")
	for _, b := range list {
		models, input, output, cost := billTotals(b)
		fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%s\t%d\t%d\t%.2f\n", formatTime(b.GetTime()), b.GetRequest(), b.GetCustomer(),
			b.GetIncarnation(), b.GetSequence(), models, input, output, cost)
	}
	return w.Flush()
}

// billTotals returns the targets of a bill and the sums of its usages.
func billTotals(b *wire.Bill) (models string, input, output ident.Tokens, cost ident.Cost) {
	var names []string
	for _, u := range b.GetUsages() {
		names = append(names, ident.Target{Model: ident.Model(u.GetModel()), Version: ident.Version(u.GetVersion())}.String())
		input += ident.Tokens(u.GetInput())
		output += ident.Tokens(u.GetOutput())
		cost += ident.Cost(u.GetCost())
	}
	return strings.Join(names, "+"), input, output, cost
}

// OpenBills prints the billing numbers that were granted and have no bill.
func (a *Admin) OpenBills(ctx context.Context) error {
	answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Bills{Bills: &wire.BillsQuery{Open: true}}})
	if err != nil {
		return err
	}
	list := answer.GetOpen()
	if a.JSON {
		var messages []proto.Message
		for _, b := range list {
			messages = append(messages, b)
		}
		return a.printLines(messages)
	}
	w := a.newTable("INCARNATION\tFIRST\tLAST")
	for _, b := range list {
		fmt.Fprintf(w, "%d\t%d\t%d\n", b.GetIncarnation(), b.GetFirst(), b.GetLast())
	}
	return w.Flush()
}

// Operations prints the operations in a phase, or one operation by its id.
func (a *Admin) Operations(ctx context.Context, id, phase string) error {
	q := &wire.OperationQuery{Id: id, Phase: phase}
	answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Operations{Operations: q}})
	if err != nil {
		return err
	}
	if a.JSON {
		var list []proto.Message
		for _, o := range answer.GetOperations() {
			list = append(list, o)
		}
		return a.printLines(list)
	}
	w := a.newTable("OPERATION\tPHASE\tFENCE\tSTATUS\tBUSINESS KEY\tBACKEND SERVER\tREQUEST\tTIME")
	for _, o := range answer.GetOperations() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", o.GetId(), o.GetPhase(), o.GetFence(), o.GetStatus(),
			o.GetBusiness(), o.GetBackend(), o.GetRequest(), formatTime(o.GetTime()))
	}
	return w.Flush()
}

// Settle decides an operation whose outcome is unknown. If ran is true, a resent
// idempotency key is answered with status and body; otherwise the key may run
// again.
func (a *Admin) Settle(ctx context.Context, id string, ran bool, status int, body []byte) error {
	s := &wire.Settle{Operation: id, Ran: ran, Status: uint32(status), Body: body}
	result, err := a.propose(ctx, &wire.Command{Kind: &wire.Command_Settle{Settle: s}})
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printProto(result.GetOperation())
	}
	fmt.Fprintf(a.Out, "operation %s is %s\n", id, result.GetOperation().GetPhase())
	return nil
}
