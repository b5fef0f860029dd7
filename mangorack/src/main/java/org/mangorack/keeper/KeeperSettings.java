package org.mangorack.keeper;

import java.nio.file.Path;
import java.time.Duration;

import org.mangorack.call.Identifiers;
import org.mangorack.config.ObjectReader;
import org.mangorack.http.HttpAddress;

/**
 * The settings of a keeper.
 *
 * @param instance the name of the instance
 * @param dataCentre the data centre of the instance
 * @param listen the address that entries and other keepers connect to
 * @param metrics the address to serve metrics on, or {@code null} for none
 * @param platform the address of the platform's object API
 * @param dataFolder the folder on the disk that holds the data
 * @param tolerance how many disks may be lost at once
 * @param firstStart whether the whole system starts for the first time, so that the
 * keepers create the group
 * @param evacuationBound the time within which an evacuation of a data centre must take
 * effect, or {@code null} if there are no evacuations
 */
public record KeeperSettings(String instance, String dataCentre, HttpAddress listen, HttpAddress metrics,
		HttpAddress platform, Path dataFolder, int tolerance, boolean firstStart, Duration evacuationBound) {

	private static final int MAX_TOLERANCE = 10;

	/**
	 * Reads the settings.
	 * @param reader reads the document and collects its problems
	 * @return the settings, valid only if the reader found no problems
	 */
	public static KeeperSettings read(ObjectReader reader) {
		String instance = reader.parsed("instance", (t) -> Identifiers.require("instance", t), null);
		String dataCentre = reader.parsed("dataCentre", (t) -> Identifiers.require("data centre", t), null);
		HttpAddress listen = reader.parsed("listen", HttpAddress::parse, null);
		HttpAddress metrics = reader.has("metrics") ? reader.parsed("metrics", HttpAddress::parse, null) : null;
		HttpAddress platform = reader.parsed("platform", HttpAddress::parse, null);
		String folder = reader.string("dataFolder");
		int tolerance = (int) reader.integer("tolerance", 0, MAX_TOLERANCE, 1);
		boolean firstStart = reader.bool("firstStart", false);
		long evacuationMillis = reader.integer("evacuationMillis", 100, 600_000, 0);
		Duration evacuationBound = (evacuationMillis > 0) ? Duration.ofMillis(evacuationMillis) : null;
		return new KeeperSettings(instance, dataCentre, listen, metrics, platform, Path.of(folder), tolerance,
				firstStart, evacuationBound);
	}

}
