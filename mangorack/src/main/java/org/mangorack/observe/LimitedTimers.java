package org.mangorack.observe;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.micrometer.core.instrument.Timer;

/**
 * The timers of one name, by values of tags that may become many. A timer takes some 1.5
 * kB and is never removed, so their number is limited: once that many are in use, other
 * combinations are recorded together, with {@link #OTHER} for the tags that may become
 * many.
 */
final class LimitedTimers {

	/**
	 * The number of combinations that have a timer of their own.
	 */
	static final int MAX_TIMERS = 2000;

	/**
	 * The value of a tag that stands for all values without a timer of their own.
	 */
	static final String OTHER = "other";

	private final Metrics metrics;

	private final String name;

	private final List<String> tags;

	private final int unlimitedTags;

	private final Map<List<String>, Timer> timers = new ConcurrentHashMap<>();

	/**
	 * Creates timers.
	 * @param metrics the registry
	 * @param name the name of the timers
	 * @param unlimitedTags how many of the tags may become many; they come first
	 * @param tags the names of the tags
	 */
	LimitedTimers(Metrics metrics, String name, int unlimitedTags, String... tags) {
		this.metrics = metrics;
		this.name = name;
		this.unlimitedTags = unlimitedTags;
		this.tags = List.of(tags);
	}

	/**
	 * Returns the timer for a combination of values.
	 * @param values the values of the tags
	 * @return the timer
	 */
	Timer get(String... values) {
		List<String> key = List.of(values);
		Timer known = this.timers.get(key);
		if ((known == null) && (this.timers.size() >= MAX_TIMERS)) {
			String[] others = values.clone();
			Arrays.fill(others, 0, this.unlimitedTags, OTHER);
			key = List.of(others);
		}
		return (known != null) ? known : this.timers.computeIfAbsent(key, this::newTimer);
	}

	private Timer newTimer(List<String> values) {
		List<String> tagsAndValues = new ArrayList<>();
		for (int i = 0; i < values.size(); i++) {
			tagsAndValues.add(this.tags.get(i));
			tagsAndValues.add(values.get(i));
		}
		return this.metrics.timer(this.name, tagsAndValues.toArray(String[]::new));
	}

}
