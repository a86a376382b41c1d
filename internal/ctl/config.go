package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"parsleyturn/internal/configstore"
	"parsleyturn/internal/platformclient"
	"parsleyturn/internal/policy"
)

// readDir reads the files in a folder whose names end in ".toml".
func readDir(dir string) ([]policy.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, badInput("read folder: %v; pass a folder of TOML files", err)
	}
	var files []policy.File
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".toml") {
			continue
		}
		content, err := readFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, badInput("read file: %v; make it readable or remove it", err)
		}
		files = append(files, policy.File{Name: e.Name(), Content: content})
	}
	if len(files) == 0 {
		return nil, badInput("folder %q has no file whose name ends in .toml; pass the configuration folder", dir)
	}
	return files, nil
}

// readFile reads at most one byte more than MaxFileBytes, so that policy.Load
// reports a file that is too large.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, policy.MaxFileBytes+1))
}

func loadDir(dir string) ([]policy.File, *policy.Merged, error) {
	files, err := readDir(dir)
	if err != nil {
		return nil, nil, err
	}
	m, err := policy.Load(files)
	return files, m, err
}

// loadAccepted loads the configuration of an accepted version. It returns nil
// for version 0, which stands for no configuration.
func loadAccepted(ctx context.Context, store *configstore.Store, rec configstore.Record) (*policy.Merged, error) {
	if rec.Version == 0 {
		return nil, nil
	}
	files, err := store.Files(ctx, rec.Manifest)
	if err != nil {
		return nil, err
	}
	m, err := policy.Load(files)
	if err != nil {
		return nil, fmt.Errorf("load accepted version %d: %w", rec.Version, err)
	}
	return m, nil
}

type checkView struct {
	Files          int `json:"files"`
	Services       int `json:"services"`
	Kinds          int `json:"kinds"`
	ClientAccounts int `json:"buyers"`
	Regions        int `json:"regions"`
}

func (t *tool) check(context.Context) error {
	files, m, err := loadDir(t.dir)
	if err != nil {
		return err
	}
	p := m.Policy
	v := checkView{len(files), len(p.Services), len(p.Kinds), len(p.ClientAccounts), len(p.Regions)}
	return t.write(v, func() {
		t.printf("ok: %d files, %d services, %d kinds, %d buyers, %d regions", v.Files, v.Services, v.Kinds, v.ClientAccounts, v.Regions)
	})
}

type showView struct {
	Version uint64         `json:"version,omitempty"`
	Values  []policy.Value `json:"values"`
}

func (t *tool) show(ctx context.Context) error {
	view := showView{Values: []policy.Value{}}
	var m *policy.Merged
	if t.dir != "" {
		var err error
		if _, m, err = loadDir(t.dir); err != nil {
			return err
		}
	} else {
		store, _, err := t.store()
		if err != nil {
			return err
		}
		rec, err := store.Current(ctx)
		if err != nil {
			return err
		}
		if m, err = loadAccepted(ctx, store, rec); err != nil {
			return err
		}
		view.Version = rec.Version
	}
	if m != nil {
		view.Values = m.Values()
	}
	return t.write(view, func() {
		tab := table{header: []string{"TABLE", "KEY", "VALUE", "FILE", "TEAM"}}
		for _, v := range view.Values {
			file := v.File
			if file == "" {
				file = "(default)"
			}
			tab.add(v.Table, v.Key, v.Value, file, v.Team)
		}
		if view.Version > 0 {
			t.printf("version %d", view.Version)
		}
		t.printTable(tab, fmt.Sprintf("the platform at %s has no accepted configuration; check the URL or use 'parsleyctl config apply'", t.platformURL))
	})
}

type diffView struct {
	Version     uint64              `json:"version"`
	Differences []policy.Difference `json:"differences"`
}

func (t *tool) diff(ctx context.Context) error {
	_, m, err := loadDir(t.dir)
	if err != nil {
		return err
	}
	store, _, err := t.store()
	if err != nil {
		return err
	}
	rec, err := store.Current(ctx)
	if err != nil {
		return err
	}
	old, err := loadAccepted(ctx, store, rec)
	if err != nil {
		return err
	}
	v := diffView{rec.Version, policy.Diff(old, m)}
	return t.write(v, func() { t.printDiff(v.Differences, fmt.Sprintf("no value differs from version %d", rec.Version)) })
}

func (t *tool) printDiff(differences []policy.Difference, emptyMessage string) {
	tab := table{header: []string{"TABLE", "KEY", "OLD", "NEW", "FILE"}}
	for _, d := range differences {
		tab.add(d.Table, d.Key, d.Old, d.New, d.File)
	}
	t.printTable(tab, emptyMessage)
}

// submitFunc submits a change to the store and returns the record and the
// files of the new version.
type submitFunc func(*configstore.Store, configstore.Change) (configstore.Record, []policy.File, error)

func (t *tool) apply(ctx context.Context) error {
	files, _, err := loadDir(t.dir)
	if err != nil {
		return err
	}
	return t.submitChange(ctx, func(store *configstore.Store, ch configstore.Change) (configstore.Record, []policy.File, error) {
		ch.Action, ch.Files = configstore.ActionApply, files
		rec, err := store.Apply(ctx, ch)
		return rec, files, err
	})
}

func (t *tool) rollback(ctx context.Context) error {
	version, err := strconv.ParseUint(t.rollbackVersion, 10, 64)
	if err != nil || version == 0 {
		return badInput("%q is not a version number; choose one from 'parsleyctl config history'", t.rollbackVersion)
	}
	return t.submitChange(ctx, func(store *configstore.Store, ch configstore.Change) (configstore.Record, []policy.File, error) {
		rec, files, err := store.Rollback(ctx, version, ch)
		if errors.Is(err, platformclient.ErrNotFound) {
			err = badInput("version %d cannot be read: %v; choose one from 'parsleyctl config history'", version, err)
		}
		return rec, files, err
	})
}

type changeView struct {
	Version uint64 `json:"version"`
	// Accepted is false if the accepted version already has the same content.
	Accepted    bool                `json:"accepted"`
	ChangeID    string              `json:"change_id,omitempty"`
	Differences []policy.Difference `json:"differences"`
	Delivery    delivery            `json:"delivery"`
}

// submitChange submits a change, delivers it to nodes and shows the
// differences. Everything that delivery needs is read before the change is
// submitted, so that an outage of the platform right after acceptance does not
// prevent it.
func (t *tool) submitChange(ctx context.Context, submit submitFunc) error {
	if strings.TrimSpace(t.reason) == "" {
		return badInput("--why is empty; give the reason for the change")
	}
	for _, addr := range t.flagNodes() {
		if err := checkNodeAddr(addr); err != nil {
			return err
		}
	}
	if t.baseVersion < -1 {
		return badInput("--base is %d; use a version number", t.baseVersion)
	}
	store, client, err := t.store()
	if err != nil {
		return err
	}
	before, err := store.Current(ctx)
	if err != nil {
		return err
	}
	// Operators must be able to replace an accepted version that cannot be
	// read. In that case only the differences are not shown.
	old, oldErr := loadAccepted(ctx, store, before)
	nodes := t.knownNodes(ctx, client)
	ch := configstore.Change{ChangeID: configstore.NewChangeID(), Author: t.author, Reason: t.reason, Time: time.Now().UTC(), Base: before.Version}
	if t.baseVersion >= 0 {
		ch.Base = uint64(t.baseVersion)
	}
	rec, files, err := submit(store, ch)
	var noChange *configstore.NoChangeError
	if errors.As(err, &noChange) {
		return t.write(changeView{Version: noChange.Current.Version, Differences: []policy.Difference{}}, func() { t.printf("%v", noChange) })
	}
	if err != nil {
		return t.explainConflict(ctx, store, err)
	}
	view := changeView{Version: rec.Version, Accepted: true, ChangeID: rec.ChangeID}
	if m, err := policy.Load(files); err == nil && oldErr == nil {
		view.Differences = policy.Diff(old, m)
	}
	view.Delivery = t.deliver(ctx, nodes, rec, before.Manifest, files)
	if err := t.write(view, func() { t.printChange(view) }); err != nil {
		return err
	}
	return view.Delivery.incompleteError(t.waitTimeout, rec.Version)
}

// conflictError is a conflict with the values that differ between the base
// version and the accepted version.
type conflictError struct {
	*configstore.ConflictError
	Differences []policy.Difference
}

func (e *conflictError) Unwrap() error { return e.ConflictError }

// explainConflict adds the values that other operators changed to a
// ConflictError. It returns other errors, and conflicts whose versions cannot
// be read, unchanged.
func (t *tool) explainConflict(ctx context.Context, store *configstore.Store, err error) error {
	var conflict *configstore.ConflictError
	if !errors.As(err, &conflict) || conflict.Base >= conflict.Current.Version {
		return err
	}
	base := configstore.Record{}
	if conflict.Base > 0 {
		var readErr error
		if base, readErr = store.Version(ctx, conflict.Base); readErr != nil {
			return err
		}
	}
	old, oldErr := loadAccepted(ctx, store, base)
	cur, curErr := loadAccepted(ctx, store, conflict.Current)
	if oldErr != nil || curErr != nil {
		return err
	}
	return &conflictError{conflict, policy.Diff(old, cur)}
}

func (t *tool) printChange(v changeView) {
	t.printDiff(v.Differences, "no effective value differs; only the files changed")
	t.printf("accepted as version %d", v.Version)
	t.printf("%s", v.Delivery.summary(v.Version))
}

func (t *tool) history(ctx context.Context) error {
	if t.limit < 1 || t.limit > 1000 {
		return badInput("--limit is %d; use 1 to 1000", t.limit)
	}
	store, _, err := t.store()
	if err != nil {
		return err
	}
	cur, err := store.Current(ctx)
	if err != nil {
		return err
	}
	after := cur.Version - min(cur.Version, uint64(t.limit))
	records, err := store.History(ctx, after, t.limit)
	if err != nil {
		return err
	}
	for i, j := 0, len(records)-1; i < j; i, j = i+1, j-1 {
		records[i], records[j] = records[j], records[i]
	}
	return t.writeAudit(records)
}

func (t *tool) audit(ctx context.Context) error {
	if t.limit < 1 || t.limit > 1000 {
		return badInput("--limit is %d; use 1 to 1000", t.limit)
	}
	store, _, err := t.store()
	if err != nil {
		return err
	}
	records, err := store.History(ctx, t.afterVersion, t.limit)
	if err != nil {
		return err
	}
	return t.writeAudit(records)
}

func (t *tool) writeAudit(records []configstore.Audit) error {
	return t.write(records, func() {
		tab := table{header: []string{"VERSION", "WHEN", "WHO", "ACTION", "CHANGED", "WHY"}}
		for _, a := range records {
			tab.add(fmt.Sprint(a.Version), a.Time.UTC().Format(time.RFC3339), a.Author, a.Action, strings.Join(a.Changed, ", "), a.Reason)
		}
		t.printTable(tab, "no changes")
	})
}
