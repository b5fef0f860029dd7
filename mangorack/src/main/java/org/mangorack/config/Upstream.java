package org.mangorack.config;

import java.util.Set;

import org.mangorack.call.UpstreamId;
import org.mangorack.http.HttpAddress;

/**
 * An upstream of the configuration.
 *
 * @param id the upstream
 * @param kind the kind of the upstream
 * @param pools the models that an engine serves, or the pool of a plain service
 * @param address the address of the upstream
 * @param dataCentre the data centre of the upstream
 * @param maxConcurrent the maximum number of concurrent calls from one instance
 * @param checksFencing whether the upstream rejects orders with an outdated fencing
 * number
 * @param leaving whether the upstream is leaving and receives no new work
 */
public record Upstream(UpstreamId id, UpstreamKind kind, Set<String> pools, HttpAddress address, String dataCentre,
		int maxConcurrent, boolean checksFencing, boolean leaving) {

	static Upstream read(String name, ObjectReader reader) {
		UpstreamKind kind = reader.parsed("kind", UpstreamKind::parse, null);
		Set<String> pools;
		if (kind == UpstreamKind.MODEL) {
			pools = Set.copyOf(reader.strings("models"));
			if (pools.isEmpty()) {
				reader.reject("models", "names no model");
			}
		}
		else {
			pools = Set.of(reader.string("pool", name));
		}
		return new Upstream(new UpstreamId(name), kind, pools, reader.parsed("address", HttpAddress::parse, null),
				reader.string("dataCentre"), (int) reader.integer("maxConcurrent", 1, 10_000, 64),
				reader.bool("checksFencing", false), reader.bool("leaving", false));
	}

}
