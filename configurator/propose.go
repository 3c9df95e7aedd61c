package configurator

import (
	"context"
	"fmt"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
)

// Proposal is a batch of statements that is proposed as the next change.
type Proposal struct {
	// Statements is the text of the batch.
	Statements string
	// File names the text in findings.
	File   string
	Author string
	// Token identifies a proposal that is resent. If it is empty, a new token is
	// assigned.
	Token string
	// DryRun checks the batch without changing anything.
	DryRun bool
	// After is the generation that the batch is based on; 0 means any. If a later
	// one was applied, the proposal fails with ConflictError. This prevents a
	// component that was paused from acting on stale state.
	After jujubegate.Generation
}

// maxAuthorBytes is the maximum length of an author's name.
const maxAuthorBytes = 256

// validate returns findings about the fields other than the statements. A token
// must be a valid name, because snapshots list tokens as names.
func (p Proposal) validate() jujubegate.Findings {
	position := jujubegate.Position{File: p.File, Line: 1, Column: 1}
	var findings jujubegate.Findings
	if p.Token != "" && !parser.ValidName(p.Token) {
		findings = append(findings, jujubegate.Finding{
			Position: position, Message: fmt.Sprintf("token %.100q is not a name of at most %d characters", p.Token, parser.MaxName),
		})
	}
	if len(p.Author) > maxAuthorBytes || !utf8.ValidString(p.Author) {
		findings = append(findings, jujubegate.Finding{
			Position: position, Message: fmt.Sprintf("author is not a text of at most %d bytes", maxAuthorBytes),
		})
	}
	return findings
}

// Propose calls Submit with a new token.
func (f *Follower) Propose(ctx context.Context, text, author string) (jujubegate.Generation, error) {
	return f.Submit(ctx, Proposal{Statements: text, Author: author})
}

// Submit checks a batch against the newest generation and adds it to the log. It
// returns the generation of the change, or the current one if the batch changes
// nothing. It fails with jujubegate.Findings, ConflictError, UnavailableError or
// OutcomeUnknownError; only after an OutcomeUnknownError may the change have been
// accepted. A proposal may safely be resent with its token as long as fewer than
// 256 changes followed it.
func (f *Follower) Submit(ctx context.Context, p Proposal) (jujubegate.Generation, error) {
	batch, findings := parser.Parse(p.File, p.Statements)
	if findings = append(findings, p.validate()...); len(findings) > 0 {
		return 0, findings
	}
	batch = changingStatements(batch)
	if len(batch) == 0 {
		return f.Current().Generation(), nil
	}
	if p.Token == "" {
		p.Token = f.NewToken()
	}
	select {
	case f.proposing <- struct{}{}:
		defer func() { <-f.proposing }()
	case <-ctx.Done():
		return 0, &UnavailableError{Cause: ctx.Err()}
	}
	applied, err := f.catchUp(ctx, f.Current().Generation())
	f.notifyChange(applied)
	if err != nil {
		return 0, &UnavailableError{Cause: err}
	}
	s := f.current.Load()
	if g, ok := s.tokens[p.Token]; ok {
		return g, nil
	}
	if p.After != 0 && p.After != s.configuration.generation {
		latest := s.configuration.generation
		known, _ := s.recentChange(latest)
		return 0, &ConflictError{Generation: latest, Author: known.Author}
	}
	// Messages to peers carry the time in microseconds, so it must not have a
	// fraction of one.
	at := f.clock.Now().UTC().Truncate(time.Microsecond)
	next, findings := s.configuration.Apply(batch, at)
	if len(findings) > 0 {
		return 0, findings
	}
	if p.DryRun {
		return next.Generation(), nil
	}
	return f.create(ctx, Change{
		Generation: next.Generation(), Author: p.Author, Token: p.Token, At: at, Statements: parser.Join(batch),
	})
}

// create adds a change to the log and applies the change that the log then holds
// at its generation.
func (f *Follower) create(ctx context.Context, change Change) (jujubegate.Generation, error) {
	stored, err := f.log.Create(ctx, change)
	if stored.Generation > 0 {
		applied, applyErr := f.applyChanges([]Change{stored}, 0)
		f.notifyChange(applied)
		if applyErr != nil {
			f.logger.Warn("configurator: cannot apply stored change", zap.Error(applyErr))
		}
	}
	if err != nil {
		f.logger.Warn("configurator: proposal failed", zap.Int64("Generation", int64(change.Generation)),
			zap.String("Author", change.Author), zap.Error(err))
		return 0, err
	}
	return stored.Generation, nil
}

// changingStatements returns all statements but Show.
func changingStatements(batch []parser.Statement) []parser.Statement {
	var list []parser.Statement
	for _, s := range batch {
		if _, ok := s.(*parser.Show); !ok {
			list = append(list, s)
		}
	}
	return list
}
