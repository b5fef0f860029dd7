package org.mangorack.keeper;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CopyWindow}.
 */
class CopyWindowTests {

	private static final int MEMBERS = 5;

	private final CopyWindow window = new CopyWindow();

	// Guards against replies in flight that exceed the memory of a keeper.
	@ParameterizedTest
	@CsvSource({ "100, 8", "400000, 8", "1000000, 4", "2000000, 2", "4000000, 1", "9000000, 1" })
	void theRequestsInFlightAreBoundedByTheSizeOfTheTurns(int turnBytes, int requests) {
		this.window.recordTurn(turnBytes);
		assertThat(sendAll()).isEqualTo(requests);
	}

	// Guards against many requests for turns that may be as large as the limits allow.
	@Test
	void eachMemberGetsOneRequestWhileNoSizeIsKnown() {
		assertThat(sendAll()).isEqualTo(MEMBERS);
	}

	// Guards against a member that holds up the others because all requests went to it.
	@Test
	void oneMemberGetsOnlyAPartOfTheRequests() {
		this.window.recordTurn(100);
		for (int i = 0; i < CopyWindow.MAX_REQUESTS_PER_MEMBER; i++) {
			this.window.begin("d0");
		}
		assertThat(this.window.hasRoom("d0")).isFalse();
		assertThat(this.window.hasRoom("d1")).isTrue();
		this.window.end("d0");
		assertThat(this.window.hasRoom("d0")).isTrue();
	}

	// Guards against requests that name many more turns than a reply has room for.
	@ParameterizedTest
	@CsvSource({ "1, 500", "1048, 500", "5242, 100", "524288, 1", "9000000, 1" })
	void aRequestNamesAsManyTurnsAsAReplyIsLikelyToHold(int turnBytes, int turns) {
		this.window.recordTurn(turnBytes);
		assertThat(this.window.batchTurns()).isEqualTo(turns);
	}

	private int sendAll() {
		int sent = 0;
		for (int round = 0; round < CopyWindow.MAX_REQUESTS_PER_MEMBER; round++) {
			for (int i = 0; i < MEMBERS; i++) {
				if (this.window.hasRoom("d" + i)) {
					this.window.begin("d" + i);
					sent++;
				}
			}
		}
		return sent;
	}

}
