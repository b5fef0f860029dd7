package org.mangorack.bench.emulator;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.mangorack.bench.emulator.load.PromptPart;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptCache}.
 */
class PromptCacheTests {

	private static final PromptPart SHARED = new PromptPart(1, 100);

	private static final PromptPart A = new PromptPart(2, 10);

	private static final PromptPart B = new PromptPart(3, 20);

	private final PromptCache cache = new PromptCache();

	@Test
	void aPartIsHeldOnlyWithAllPartsBeforeIt() {
		this.cache.use(List.of(SHARED, A));
		assertThat(this.cache.held(List.of(SHARED, A, B))).isEqualTo(2);
		assertThat(this.cache.held(List.of(B, SHARED))).isZero();
	}

	@Test
	void aPartThatIsUsedTwiceIsStoredOnce() {
		this.cache.use(List.of(SHARED, A));
		this.cache.use(List.of(SHARED, B));
		assertThat(this.cache.tokens()).isEqualTo(130);
		this.cache.release(List.of(SHARED, A));
		assertThat(this.cache.unusedTokens()).isEqualTo(10);
	}

	@Test
	void theLeastRecentlyUsedPartIsEvictedFirstAndLaterPartsBeforeEarlierOnes() {
		this.cache.use(List.of(SHARED, A));
		this.cache.release(List.of(SHARED, A));
		this.cache.use(List.of(SHARED, B));
		this.cache.release(List.of(SHARED, B));
		this.cache.evict(1);
		assertThat(this.cache.held(List.of(SHARED, A))).isEqualTo(1);
		this.cache.evict(1);
		assertThat(this.cache.held(List.of(SHARED, B))).isEqualTo(1);
		assertThat(this.cache.tokens()).isEqualTo(100);
	}

	@Test
	void partsInUseAreNotEvicted() {
		this.cache.use(List.of(SHARED));
		this.cache.use(List.of(A));
		this.cache.release(List.of(A));
		this.cache.evict(1000);
		assertThat(this.cache.tokens()).isEqualTo(100);
		assertThat(this.cache.unusedTokens()).isZero();
	}

}
