package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.keeper.proto.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupView}.
 */
class GroupViewTests {

	@Property(seed = "7")
	void twoMajoritiesAlwaysHaveAMemberInCommon(@ForAll @IntRange(min = 1, max = 9) int size, @ForAll Set<Integer> some,
			@ForAll Set<Integer> others) {
		GroupView view = view(size, 1);
		Set<String> first = disks(some, size);
		Set<String> second = disks(others, size);
		if (view.isMajority(first) && view.isMajority(second)) {
			first.retainAll(second);
			assertThat(first).isNotEmpty();
		}
	}

	@Property(seed = "11")
	void everyReadQuorumIntersectsEveryWriteQuorum(@ForAll @IntRange(min = 3, max = 9) int size,
			@ForAll @IntRange(min = 1, max = 3) int tolerance, @ForAll Set<Integer> holders,
			@ForAll Set<Integer> asked) {
		GroupView view = view(size, tolerance);
		Set<String> held = disks(holders, size);
		Set<String> readFrom = disks(asked, size);
		if (view.isWriteQuorum(held) && view.isReadQuorum(readFrom)) {
			held.retainAll(readFrom);
			assertThat(held).isNotEmpty();
		}
	}

	// Guards against turns that are confirmed with fewer copies than are promised.
	@ParameterizedTest
	@CsvSource({ "0, 0, false", "1, 0, true", "1, 1, false", "2, 1, true", "1, 2, false", "2, 2, false", "3, 2, true" })
	void allDisksOfAGroupAreAWriteQuorumOnlyIfTheyHoldThePromisedCopies(int size, int tolerance, boolean quorum) {
		Set<String> all = Set.of("d0", "d1", "d2");
		assertThat(view(size, tolerance).isWriteQuorum(all)).isEqualTo(quorum);
		assertThat(new GroupView(2, members(0, size), members(0, 3), tolerance).isWriteQuorum(all)).isEqualTo(quorum);
		assertThat(new GroupView(2, members(0, 3), members(0, Math.max(1, size)), tolerance).isWriteQuorum(all))
			.isEqualTo(Math.max(1, size) > tolerance);
	}

	@Test
	void aChangeRequiresQuorumsOfBothSets() {
		GroupView view = new GroupView(2, members(0, 4), members(1, 5), 1);
		assertThat(view.isMajority(Set.of("d0", "d1", "d2"))).isFalse();
		assertThat(view.isMajority(Set.of("d1", "d2", "d3"))).isTrue();
		assertThat(view.isWriteQuorum(Set.of("d0", "d1"))).isFalse();
		assertThat(view.isWriteQuorum(Set.of("d0", "d1", "d4"))).isTrue();
	}

	@Test
	void aJoiningDiskDoesNotCountTowardsAReadQuorum() {
		GroupView view = new GroupView(2, members(0, 4), members(1, 5), 1);
		assertThat(view.isReadQuorum(Set.of("d1", "d2", "d4"))).isFalse();
		assertThat(view.isReadQuorum(Set.of("d1", "d2", "d3"))).isTrue();
	}

	@Test
	void anUnknownGroupHasNoQuorum() {
		GroupView view = GroupView.unknown(1);
		assertThat(view.isMajority(Set.of())).isFalse();
		assertThat(view.isReadQuorum(Set.of())).isFalse();
	}

	@Test
	void theDocumentOfTheGroupKeepsAllFields() {
		GroupView view = new GroupView(5, members(0, 4), members(1, 5), 1);
		assertThat(GroupDocument.read(GroupDocument.write(view), 1)).isEqualTo(view);
	}

	private static GroupView view(int size, int tolerance) {
		return new GroupView(1, members(0, size), List.of(), tolerance);
	}

	private static List<Member> members(int from, int to) {
		List<Member> members = new ArrayList<>();
		for (int i = from; i < to; i++) {
			members.add(Member.newBuilder().setName("k" + i).setDisk("d" + i).setHost("127.0.0.1").setPort(1).build());
		}
		return members;
	}

	private static Set<String> disks(Set<Integer> numbers, int size) {
		Set<String> disks = new HashSet<>();
		numbers.forEach((n) -> disks.add("d" + Math.floorMod(n, size)));
		return disks;
	}

}
