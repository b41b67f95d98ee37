package member

import "persimmonstage/core/ident"

// Member is an entry process with its identity, its data centre and its IP:PORT addresses; it is comparable.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	Control     string `json:"control"`
	Bulk        string `json:"bulk"`
	HTTP        string `json:"http"`
	Mapped      bool   `json:"mapped,omitempty"` // reached through a port mapping, at addresses other than those it listens on
}

// Ident returns the member's name and incarnation.
func (m Member) Ident() ident.Ident { return ident.Ident{Name: m.Name, Incarnation: m.Incarnation} }

// Replaces reports whether the two are different incarnations of one name on the same listen addresses, so that only one of
// them can be alive at a time; mapped addresses prove nothing, since a mapping can be moved while the first process still runs.
func (m Member) Replaces(o Member) bool {
	return !m.Mapped && !o.Mapped && m.Name == o.Name && m.Incarnation != o.Incarnation &&
		m.Control == o.Control && m.Bulk == o.Bulk && m.HTTP == o.HTTP
}
