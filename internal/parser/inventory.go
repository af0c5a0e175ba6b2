package parser

import "github.com/coltsfootscale/coltsfootscale/internal/recorder"

// ParseInventory reads availability zones, teams and targets; the error holds Faults.
func ParseInventory(file string, data []byte) (*recorder.Inventory, error) {
	d, err := openDocument(file, data)
	if err != nil {
		return nil, err
	}
	inv := &recorder.Inventory{}
	zones := map[string]bool{}
	for _, s := range d.sectionsOfKind("AvailabilityZone") {
		zones[s.ID] = true
		inv.Zones = append(inv.Zones, &recorder.AvailabilityZone{ID: s.ID, Region: s.required("Region")})
	}
	for _, s := range d.sectionsOfKind("Team") {
		inv.Teams = append(inv.Teams, &recorder.Team{ID: s.ID, Partner: s.text("Partner", "")})
	}
	for _, s := range d.sectionsOfKind("Target") {
		inv.Targets = append(inv.Targets, parseTarget(s, zones))
	}
	if len(inv.Targets) == 0 {
		d.addFault("Target", "", "", "at least one target")
	}
	if err := d.finish("AvailabilityZone ID, Team ID, Target ID"); err != nil {
		return nil, err
	}
	return inv, nil
}

func parseTarget(s *section, zones map[string]bool) *recorder.Target {
	t := &recorder.Target{
		ID:                     s.ID,
		Kind:                   recorder.TargetKind(s.oneOf("Kind", "Engine", recorder.TargetKind_value)),
		Address:                s.hostPort("Address", ""),
		Zone:                   s.reference("AvailabilityZone", zones, "an availability zone of this inventory"),
		Model:                  s.text("Model", ""),
		Service:                s.text("Service", ""),
		Role:                   recorder.Role(s.oneOf("Role", "Mixed", recorder.Role_value)),
		ChecksFence:            s.boolean("ChecksFence", false),
		Cheap:                  s.boolean("Cheap", false),
		PricePerHour:           s.number("PricePerHour", 0, 0, maximumPricePerHour),
		PrefillTokensPerSecond: s.number("PrefillTokensPerSecond", defaultPrefillTokensPerSecond, 1, maximumTokensPerSecond),
		DecodeTokensPerSecond:  s.number("DecodeTokensPerSecond", defaultDecodeTokensPerSecond, 1, maximumTokensPerSecond),
		Slots:                  s.integer("Slots", defaultSlots, 1, maximumSlots),
	}
	if t.Kind == recorder.TargetKind_Engine && t.Model == "" {
		s.addFault("Model", "", "the model that the engine serves")
	}
	if t.Kind == recorder.TargetKind_Service && t.Service == "" {
		s.addFault("Service", "", "the name of the service")
	}
	return t
}
