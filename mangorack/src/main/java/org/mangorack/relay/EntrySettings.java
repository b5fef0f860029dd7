package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.mangorack.call.Identifiers;
import org.mangorack.config.ObjectReader;
import org.mangorack.http.HttpAddress;

/**
 * The settings of an entry.
 *
 * @param instance the name of the instance
 * @param dataCentre the data centre of the instance
 * @param callers the listen address for callers
 * @param readiness the listen address of the readiness check
 * @param directory the listen address of the directory, from which callers get the
 * addresses of entries
 * @param metrics the listen address of the metrics, or {@code null}
 * @param platform the address of the object API
 * @param seeds addresses of some keepers, for starting while the platform is unreachable
 * @param tolerance how many disks may fail at the same time
 * @param maxConfigurationAge the maximum time since the configuration was confirmed at
 * which requests with a key are served
 * @param maxAbsenceAge the maximum time since the configuration was confirmed at which a
 * route or key that it lacks is reported as missing
 * @param grace the time limit of a graceful stop
 * @param promptReuseMinTokenBytes the memory for a token from which on the engines of a
 * pool take so long to read a prompt that turns are placed where their prompts are kept,
 * in bytes
 * @param evacuationBound the time within which an evacuation of a data centre must take
 * effect, or {@code null} if there are no evacuations
 * @param coldOvershoot the requests that a cold upstream may get in a second, as a
 * multiple of what it tolerates
 * @param coldSlack the number of requests that it may get beyond that
 * @param limitStarts whether the calls of upstreams that start or recover are limited by
 * how they answer, in deployments with large models
 */
public record EntrySettings(String instance, String dataCentre, HttpAddress callers, HttpAddress readiness,
		HttpAddress directory, HttpAddress metrics, HttpAddress platform, List<HttpAddress> seeds, int tolerance,
		Duration maxConfigurationAge, Duration maxAbsenceAge, Duration grace, long promptReuseMinTokenBytes,
		Duration evacuationBound, double coldOvershoot, double coldSlack, boolean limitStarts) {

	/**
	 * The default of the least memory for a token of pools whose prompts are reused.
	 * Small models take about 20 KB and read hundreds of tokens in a millisecond, large
	 * ones take 160 KB and more.
	 */
	public static final long DEFAULT_PROMPT_REUSE_MIN_TOKEN_BYTES = 64 * 1024;

	private static final int MAX_TOLERANCE = 10;

	/**
	 * Reads the settings.
	 * @param reader the document, which collects validation problems
	 * @return the settings, valid only if there were no problems
	 */
	public static EntrySettings read(ObjectReader reader) {
		String instance = reader.parsed("instance", (t) -> Identifiers.require("instance", t), null);
		String dataCentre = reader.parsed("dataCentre", (t) -> Identifiers.require("data centre", t), null);
		HttpAddress callers = reader.parsed("callers", HttpAddress::parse, null);
		HttpAddress readiness = reader.parsed("readiness", HttpAddress::parse, null);
		HttpAddress directory = reader.parsed("directory", HttpAddress::parse, null);
		HttpAddress metrics = reader.has("metrics") ? reader.parsed("metrics", HttpAddress::parse, null) : null;
		HttpAddress platform = reader.parsed("platform", HttpAddress::parse, null);
		List<HttpAddress> seeds = new ArrayList<>();
		for (String text : reader.strings("seeds")) {
			try {
				seeds.add(HttpAddress.parse(text));
			}
			catch (IllegalArgumentException ex) {
				reader.reject("seeds", "holds \"" + text + "\": " + ex.getMessage());
			}
		}
		int tolerance = (int) reader.integer("tolerance", 0, MAX_TOLERANCE, 1);
		Duration maxConfigurationAge = Duration.ofMillis(reader.integer("revocationMillis", 500, 600_000, 5000))
			.multipliedBy(4)
			.dividedBy(5);
		Duration maxAbsenceAge = Duration.ofMillis(reader.integer("configurationApplyMillis", 200, 600_000, 2000));
		Duration grace = Duration.ofMillis((long) (reader.number("graceSeconds", 0.5, 3600, 8) * 1000));
		long evacuationMillis = reader.integer("evacuationMillis", 100, 600_000, 0);
		Duration evacuationBound = (evacuationMillis > 0) ? Duration.ofMillis(evacuationMillis) : null;
		return new EntrySettings(instance, dataCentre, callers, readiness, directory, metrics, platform, seeds,
				tolerance, maxConfigurationAge, maxAbsenceAge, grace,
				reader.integer("promptReuseMinTokenBytes", 0, Long.MAX_VALUE, DEFAULT_PROMPT_REUSE_MIN_TOKEN_BYTES),
				evacuationBound, reader.number("coldOvershoot", 1, 100, 1), reader.number("coldSlack", 0, 10_000, 0),
				reader.bool("limitStarts", false));
	}

}
