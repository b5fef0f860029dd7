package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.StoredObject;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamList}.
 */
class UpstreamListTests {

	private final Map<String, StoredObject> objects = new HashMap<>();

	private KindCache.Snapshot snapshot = new KindCache.Snapshot(Map.of(), 0);

	private final UpstreamList list = new UpstreamList(() -> this.snapshot,
			() -> new ContactTracker.Contact(true, Duration.ofSeconds(3), true));

	@Test
	void theListIsEmptyBeforeTheFirstCopy() {
		assertThat(this.list.changesSince(0).getVersion()).isZero();
	}

	@Test
	void anEntryWithoutAListGetsAllUpstreams() {
		put("a", 3);
		put("b", 5);
		publish(10);
		UpstreamNews news = this.list.changesSince(0).build();
		assertThat(news.getWhole()).isTrue();
		assertThat(names(news)).containsExactlyInAnyOrder("a", "b");
		assertThat(news.getVersion()).isEqualTo(10);
		assertThat(this.list.contact().getAnswering()).isTrue();
		assertThat(this.list.contact().getLengthMs()).isEqualTo(3000);
		assertThat(this.list.contact().getBroken()).isTrue();
	}

	@Test
	void anEntryThatIsUpToDateGetsNothing() {
		put("a", 3);
		publish(10);
		assertThat(names(this.list.changesSince(10).build())).isEmpty();
	}

	@Test
	void onlyLaterChangesAndRemovalsAreListed() {
		put("a", 3);
		put("b", 5);
		publish(10);
		this.list.changesSince(0);
		put("c", 12);
		this.objects.remove("a");
		publish(14);
		UpstreamNews news = this.list.changesSince(10).build();
		assertThat(news.getWhole()).isFalse();
		assertThat(names(news)).containsExactly("c");
		assertThat(news.getGoneList()).containsExactly("a");
	}

	/**
	 * An entry that received version 11 from another keeper has not seen a removal in a
	 * later version, even if this keeper never listed version 11.
	 */
	@Test
	void aRemovalIsReportedToAnEntryWithAnIntermediateVersion() {
		put("a", 3);
		publish(10);
		this.list.changesSince(0);
		this.objects.remove("a");
		publish(14);
		assertThat(this.list.changesSince(11).getGoneList()).containsExactly("a");
		assertThat(this.list.changesSince(14).getGoneList()).isEmpty();
	}

	@Test
	void anUpstreamThatWasAddedAgainIsNotListedAsGone() {
		put("a", 3);
		publish(10);
		this.list.changesSince(0);
		this.objects.remove("a");
		publish(14);
		this.list.changesSince(10);
		put("a", 16);
		publish(17);
		UpstreamNews news = this.list.changesSince(10).build();
		assertThat(news.getGoneList()).isEmpty();
		assertThat(names(news)).containsExactly("a");
	}

	@Test
	void anEntryThatMissedADiscardedRemovalGetsAllUpstreams() {
		for (int i = 0; i <= UpstreamList.MAX_REMOVALS; i++) {
			put("u" + i, 1);
		}
		put("stays", 2);
		publish(10);
		this.list.changesSince(0);
		for (int i = 0; i <= UpstreamList.MAX_REMOVALS; i++) {
			this.objects.remove("u" + i);
			publish(11 + i);
			this.list.changesSince(0);
		}
		UpstreamNews news = this.list.changesSince(10).build();
		assertThat(news.getWhole()).isTrue();
		assertThat(names(news)).containsExactly("stays");
		assertThat(this.list.changesSince(11).getWhole()).isFalse();
	}

	private void put(String name, long version) {
		this.objects.put(name, new StoredObject(name, Long.toString(version), Jsons.object()));
	}

	private void publish(long version) {
		this.snapshot = new KindCache.Snapshot(Map.copyOf(this.objects), version);
	}

	private static List<String> names(UpstreamNews news) {
		return news.getUpstreamList().stream().map(UpstreamObject::getName).toList();
	}

}
