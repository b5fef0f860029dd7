package org.mangorack.bench.fleet;

import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * The size and seed of a run of a fleet of processes.
 *
 * @param seed the seed of the callers and of the troubles
 * @param keepers the number of keepers
 * @param entries the number of entries
 * @param tolerance how many disks may be lost at a time
 * @param callers the number of concurrent callers
 * @param upstreams the number of upstreams of each of the two pools
 * @param troubles for how long troubles are inflicted
 * @param kinds the kinds of trouble, in their order
 * @param faults how many of a hundred responses of upstreams have a fault
 */
record FleetRunSettings(long seed, int keepers, int entries, int tolerance, int callers, int upstreams,
		Duration troubles, Set<FleetTrouble> kinds, int faults) {

	private static final String PREFIX = "mangorack.fleet.";

	/**
	 * Returns the runs that the system properties ask for.
	 * @param defaults the runs if no seed is given
	 * @return the runs
	 */
	static Stream<FleetRunSettings> fromProperties(FleetRunSettings... defaults) {
		String seeds = System.getProperty(PREFIX + "seeds");
		if (seeds == null) {
			return Stream.of(defaults);
		}
		String[] range = seeds.split("-");
		return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]))
			.mapToObj((seed) -> defaults[0].withProperties(seed));
	}

	private FleetRunSettings withProperties(long withSeed) {
		return new FleetRunSettings(withSeed, integer("keepers", this.keepers), integer("entries", this.entries),
				integer("tolerance", this.tolerance), integer("callers", this.callers),
				integer("upstreams", this.upstreams),
				Duration.ofSeconds(integer("seconds", (int) this.troubles.toSeconds())), kinds(this.kinds),
				integer("faults", this.faults));
	}

	private static int integer(String name, int defaultValue) {
		return Integer.getInteger(PREFIX + name, defaultValue);
	}

	/**
	 * Tells whether a lost disk counts only for the time that the deployment grants to
	 * catch up, however long its keeper takes. Machines that are too slow for their
	 * processes break promises then, so that this can be relaxed.
	 * @return {@code false} if a lost disk counts until the group is whole again
	 */
	boolean isCatchUpTimed() {
		return Boolean.parseBoolean(System.getProperty(PREFIX + "timed", "true"));
	}

	private static Set<FleetTrouble> kinds(Set<FleetTrouble> defaults) {
		String given = System.getProperty(PREFIX + "kinds");
		if (given == null) {
			return defaults;
		}
		return Stream.of(given.split(","))
			.map(FleetTrouble::valueOf)
			.collect(Collectors.toCollection(() -> EnumSet.noneOf(FleetTrouble.class)));
	}

	/**
	 * Returns the faults that responses of upstreams may have.
	 * @return the faults
	 */
	List<UpstreamFault> upstreamFaults() {
		String given = System.getProperty(PREFIX + "faultKinds");
		return (given != null) ? Stream.of(given.split(",")).map(UpstreamFault::valueOf).toList()
				: List.of(UpstreamFault.values());
	}

	/**
	 * Returns the folder with the jar and the deploy files that are run.
	 * @return the folder
	 */
	static Path root() {
		String given = System.getProperty(PREFIX + "root");
		Path folder = Path.of((given != null) ? given : "").toAbsolutePath();
		while (!folder.resolve("target/mangorack.jar").toFile().isFile()) {
			folder = folder.getParent();
			if (folder == null) {
				throw new IllegalStateException("target/mangorack.jar is not built");
			}
		}
		return folder;
	}

	/**
	 * Returns the folder that receives the logs and data of the processes.
	 * @param temporary the folder if the system properties name none
	 * @return the folder
	 */
	Path folder(Path temporary) {
		String given = System.getProperty(PREFIX + "folder");
		return (given != null) ? Path.of(given, "seed-" + this.seed) : temporary;
	}

	@Override
	public String toString() {
		return "seed " + this.seed + ", " + this.keepers + " keepers, " + this.entries + " entries, tolerance "
				+ this.tolerance + ((this.kinds.size() < FleetTrouble.values().length) ? ", " + this.kinds : "")
				+ ((this.faults > 0) ? ", " + this.faults + "% of responses faulty" : "");
	}

}
