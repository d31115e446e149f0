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

func (a *app) requestCommands(parser *flaggy.Parser) []node {
	group := attach(parser, "request", "find a request")
	show := attach(group, "show", "print what any host knows of a request")
	id := new(string)
	show.AddPositionalValue(id, "ID", 1, true, "request ID, from the header Bluebell-Request-Id")
	return []node{{show, func(ctx context.Context) error { return a.showRequest(ctx, *id) }}}
}

func (a *app) showRequest(ctx context.Context, id string) error {
	v, err := a.client.ShowRequest(ctx, api.ShowRequestParams{ID: id})
	if err != nil {
		return err
	}
	return a.print(v, func(w io.Writer) {
		row(w, "request", v.ID)
		row(w, "state", string(v.State))
		row(w, "ran", string(v.Ran))
		row(w, "kind", v.Kind.Value)
		row(w, "detail", v.Detail.Value)
		row(w, "home", v.Home.Value)
		row(w, "claimed key", v.Key.Value)
		row(w, "target", v.Target.Value)
		row(w, "tokens", v.Tokens.Value)
		row(w, "trace", v.TraceID.Value)
	})
}

func (a *app) quarantineCommands(parser *flaggy.Parser) []node {
	group := attach(parser, "quarantine", "list and release quarantined content")
	list := attach(group, "list", "print the fingerprints that are refused")
	release := attach(group, "release", "accept a fingerprint again on every host")
	fingerprint := new(string)
	release.AddPositionalValue(fingerprint, "FINGERPRINT", 1, true, "16 hex digits, from the list")
	return []node{
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
		row(w, "FINGERPRINT", "CUSTOMER", "SERVICE", "CRASHES", "EXPIRES")
		for _, e := range entries {
			row(w, e.Fingerprint, e.Customer, e.Service, e.Crashes, e.Expires.UTC().Format(time.RFC3339))
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

func (a *app) versionCommand(parser *flaggy.Parser) node {
	sub := attach(parser, "version", "print the version of this program")
	return node{sub, a.version}
}

func (a *app) version(context.Context) error {
	return a.print(map[string]string{"version": settings.Version()}, func(w io.Writer) {
		fmt.Fprintln(w, settings.Version())
	})
}
