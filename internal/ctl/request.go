package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	api "github.com/bluebellseam/bluebellseam/internal/api/operators"
	"github.com/bluebellseam/bluebellseam/internal/settings"
)

func (a *app) requestCommands(parser *flaggy.Parser) []leafCommand {
	group := attach(parser, "request", "look up requests")
	show := attach(group, "show", "print the state of a request, whichever host served it")
	id := new(string)
	show.AddPositionalValue(id, "ID", 1, true, "request ID, from the header Bluebell-Request-Id")
	return []leafCommand{{show, func(ctx context.Context) error { return a.showRequest(ctx, *id) }}}
}

func (a *app) showRequest(ctx context.Context, id string) error {
	v, err := a.client.ShowRequest(ctx, api.ShowRequestParams{ID: id})
	if err != nil {
		return err
	}
	return a.print(v, func(w io.Writer) {
		writeRow(w, "request", v.ID)
		writeRow(w, "state", string(v.State))
		writeRow(w, "ran", string(v.Ran))
		writeRow(w, "kind", v.Kind.Value)
		writeRow(w, "detail", v.Detail.Value)
		writeRow(w, "home", v.Home.Value)
		writeRow(w, "claimed key", v.Key.Value)
		writeRow(w, "target", v.Target.Value)
		writeRow(w, "tokens", v.Tokens.Value)
		writeRow(w, "trace", v.TraceID.Value)
	})
}

func (a *app) quarantineCommands(parser *flaggy.Parser) []leafCommand {
	group := attach(parser, "quarantine", "list and release quarantined fingerprints")
	list := attach(group, "list", "print the fingerprints whose requests are refused")
	release := attach(group, "release", "remove a fingerprint from the quarantine of every host")
	fingerprint := new(string)
	release.AddPositionalValue(fingerprint, "FINGERPRINT", 1, true, "fingerprint as printed by quarantine list: 16 hex digits")
	return []leafCommand{
		{list, a.listQuarantine},
		{release, func(ctx context.Context) error { return a.releaseQuarantine(ctx, *fingerprint) }},
	}
}

func (a *app) listQuarantine(ctx context.Context) error {
	entries, err := a.client.ListQuarantine(ctx)
	if err != nil {
		return err
	}
	return a.print(entries, func(w io.Writer) {
		writeRow(w, "FINGERPRINT", "CUSTOMER", "SERVICE", "CRASHES", "EXPIRES")
		for _, e := range entries {
			writeRow(w, e.Fingerprint, e.Customer, e.Service, e.Crashes, e.Expires.UTC().Format(time.RFC3339))
		}
	})
}

func (a *app) releaseQuarantine(ctx context.Context, fingerprint string) error {
	params := api.ReleaseQuarantineParams{Fingerprint: fingerprint}
	if err := a.client.ReleaseQuarantine(ctx, params); err != nil {
		return err
	}
	return a.print(map[string]string{"released": fingerprint}, func(w io.Writer) {
		fmt.Fprintf(w, "released %s\n", fingerprint)
	})
}

func (a *app) versionCommand(parser *flaggy.Parser) leafCommand {
	sub := attach(parser, "version", "print the version of this program")
	return leafCommand{sub, a.version}
}

func (a *app) version(context.Context) error {
	return a.print(map[string]string{"version": settings.Version()}, func(w io.Writer) {
		fmt.Fprintln(w, settings.Version())
	})
}
