package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoreException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for membership changes of the keeper group while disks are lost, replaced and
 * retired. The group has four keepers and tolerates the loss of one.
 */
class GroupChangeTests {

	private static final long TIMEOUT_SECONDS = 60;

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one"));
			return true;
		});
		this.fleet = new TestFleetNodes();
		this.fleet.start(this.folder, 4, 1);
		this.fleet.addUpstream("u-1", this.upstream);
		this.fleet.awaitServing();
		for (int i = 0; i < 6; i++) {
			assertThat(turn("t" + i, "Program: p" + i + "\r\n")).startsWith("HTTP/1.1 200");
		}
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	@Test
	void anEmptyDiskTakesThePlaceOfTheLostOneAndHoldsItsTurns() throws Exception {
		long before = epoch();
		this.fleet.keepers().remove(0).stop();
		this.fleet.startKeeper("keeper-0", Files.createDirectories(this.folder.resolve("k0-new")), 1, false);
		awaitEpoch(before + 2);
		this.fleet.keepers().remove(0).stop();
		assertTurnsContinue();
	}

	@Test
	void aNewKeeperTakesThePlaceOfASilentOne() throws Exception {
		long before = epoch();
		this.fleet.keepers().remove(0).stop();
		this.fleet.startKeeper("keeper-9", Files.createDirectories(this.folder.resolve("k9")), 1, false);
		awaitEpoch(before + 2);
		assertThat(group().path("members").toString()).contains("keeper-9").doesNotContain("keeper-0");
		this.fleet.keepers().remove(0).stop();
		assertTurnsContinue();
	}

	@Test
	void aRetiredKeeperTransfersItsTurnsToTheOthers() throws Exception {
		long before = epoch();
		this.fleet.store().put("retirements", "keeper-0", TestFleetNodes.object("{\"duration_s\":10}"));
		awaitEpoch(before + 2);
		awaitStatus("completed");
		this.fleet.keepers().remove(0).stop();
		assertTurnsContinue();
	}

	@Test
	void aRetiredKeeperIsNotAddedAgainWhileItRuns() throws Exception {
		long before = epoch();
		this.fleet.store().put("retirements", "keeper-0", TestFleetNodes.object("{\"duration_s\":10}"));
		awaitEpoch(before + 2);
		awaitStatus("completed");
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(epoch()).isEqualTo(before + 2);
		assertThat(group().path("members")).hasSize(3);
	}

	@Test
	void aChangeWhoseAnswerIsLostIsMadeOnce() throws Exception {
		long before = epoch();
		this.fleet.store().loseAnswers(1);
		this.fleet.keepers().remove(0).stop();
		this.fleet.startKeeper("keeper-0", Files.createDirectories(this.folder.resolve("k0-new")), 1, false);
		awaitEpoch(before + 2);
		assertThat(group().path("members")).hasSize(4);
		assertTurnsContinue();
	}

	@Test
	void aChangeWhoseJoiningDiskIsLostIsAborted() throws Exception {
		long before = epoch();
		ObjectNode changing = group().deepCopy();
		changing.put("epoch", before + 1);
		ArrayNode next = changing.putArray("next");
		next.addAll((ArrayNode) changing.path("members"));
		ObjectNode lost = next.get(0).deepCopy();
		next.add(lost.put("instance", "keeper-9").put("disk", "lost").put("port", 1));
		this.fleet.store().put("keepergroups", "main", changing);
		awaitEpoch(before + 2);
		assertThat(group().path("members")).hasSize(4);
		assertTurnsContinue();
	}

	@Test
	void turnsGoOnWhileTheStoreRefusesEverything() throws Exception {
		this.fleet.store().setRefusing(true);
		assertTurnsContinue();
		this.fleet.keepers().remove(0).stop();
		assertThat(turn("later", "Previous-Turn: t1\r\n")).startsWith("HTTP/1.1 200");
	}

	@Test
	void anEntryThatStartsWithoutThePlatformLearnsAllFromItsSeeds() throws Exception {
		this.fleet.store().setRefusing(true);
		this.fleet.startEntry(1);
		long startedAt = System.nanoTime();
		String response = turn("late", "Previous-Turn: t1\r\n");
		while (!response.startsWith("HTTP/1.1 200")) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).as("last response %s", response)
				.isLessThan(TIMEOUT_SECONDS);
			TimeUnit.MILLISECONDS.sleep(50);
			response = turn("late", "Previous-Turn: t1\r\n");
		}
	}

	@Test
	void aDiscardedHistoryCausesAFullRead() throws Exception {
		this.fleet.store().discardHistory();
		this.fleet.configure(2, TestFleetNodes.object("{\"tenants\":[{\"name\":\"b\",\"api_keys\":[\"key-b\"]}]}"));
		long startedAt = System.nanoTime();
		while (!turn("x", "").startsWith("HTTP/1.1 401")) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).isLessThan(TIMEOUT_SECONDS);
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	// ---- Helpers

	private void assertTurnsContinue() throws IOException {
		for (int i = 0; i < 6; i++) {
			assertThat(turn("c" + i, "Program: q" + i + "\r\nPrevious-Turn: t" + i + "\r\n")).as("turn t%d", i)
				.startsWith("HTTP/1.1 200");
		}
		assertThat(turn("c9", "Previous-Turn: none\r\n")).startsWith("HTTP/1.1 404");
	}

	private String turn(String id, String headers) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request("POST", "/turns/1", id, headers, "x"));
	}

	private JsonNode group() throws StoreException {
		return this.fleet.newStore().get(ObjectKind.KEEPER_GROUP, "main").orElseThrow().spec();
	}

	private long epoch() throws StoreException {
		return group().path("epoch").asLong();
	}

	private void awaitEpoch(long epoch) throws Exception {
		long startedAt = System.nanoTime();
		while ((epoch() < epoch) || !group().path("next").isEmpty()) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).as("group %s", group())
				.isLessThan(TIMEOUT_SECONDS);
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	private void awaitStatus(String state) throws Exception {
		long startedAt = System.nanoTime();
		while (!this.fleet.store().status("retirements", "keeper-0").path("state").asText().equals(state)) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).isLessThan(TIMEOUT_SECONDS);
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

}
