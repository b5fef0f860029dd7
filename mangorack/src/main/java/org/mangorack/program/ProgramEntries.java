package org.mangorack.program;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

import org.mangorack.call.ProgramKey;
import org.mangorack.call.WorkspaceId;
import org.mangorack.journal.proto.BudgetCharged;
import org.mangorack.journal.proto.Entry;
import org.mangorack.journal.proto.ProgramEnded;
import org.mangorack.journal.proto.ProgramOpened;
import org.mangorack.journal.proto.TurnFinished;
import org.mangorack.journal.proto.TurnStarted;

/**
 * Creates journal entries for programs.
 */
final class ProgramEntries {

	private ProgramEntries() {
	}

	/**
	 * Returns a snapshot of a program as journal entries. Replaying them rebuilds the
	 * program, whether or not its original entries were replayed before. The charged
	 * total is a single entry, and the copied turns carry no charge, so that nothing is
	 * charged twice.
	 * @param program the program
	 * @return the entries
	 */
	static List<Entry> of(ProgramState program) {
		List<Entry> entries = new ArrayList<>();
		String name = program.key().program();
		WorkspaceId workspace = program.key().workspace();
		ProgramOpened opened = ProgramOpened.newBuilder()
			.setProgram(name)
			.setRoot(program.root())
			.setParent((program.parent() != null) ? program.parent() : "")
			.setBudget(program.budget())
			.addAllUpstreams(program.upstreams())
			.build();
		entries.add(entry(workspace, (b) -> b.setProgramOpened(opened)));
		BudgetCharged charged = BudgetCharged.newBuilder().setProgram(name).setCharged(program.charged()).build();
		entries.add(entry(workspace, (b) -> b.setBudgetCharged(charged)));
		program.turns().values().forEach((turn) -> {
			TurnFinished copy = turn.toBuilder().setCharged(0).build();
			entries.add(entry(workspace, (b) -> b.setTurnFinished(copy)));
		});
		program.reservations().forEach((turn, reserved) -> {
			TurnStarted started = TurnStarted.newBuilder()
				.setProgram(name)
				.setTurn(turn)
				.setReserved(reserved)
				.setUpstream(program.lastUpstream())
				.build();
			entries.add(entry(workspace, (b) -> b.setTurnStarted(started)));
		});
		if (program.isEnded()) {
			ProgramEnded ended = ProgramEnded.newBuilder()
				.setProgram(name)
				.setReason(program.endReason())
				.addAllUpstreams(new TreeSet<>(program.unreleased()))
				.build();
			entries.add(entry(workspace, (b) -> b.setProgramEnded(ended)));
		}
		return entries;
	}

	static Entry entry(WorkspaceId workspace, UnaryOperator<Entry.Builder> body) {
		return body.apply(Entry.newBuilder().setWorkspace(workspace.value())).build();
	}

	static ProgramKey key(Entry entry, String program) {
		return new ProgramKey(new WorkspaceId(entry.getWorkspace()), program);
	}

}
