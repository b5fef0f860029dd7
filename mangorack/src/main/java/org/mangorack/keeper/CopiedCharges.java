package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.ProgramCharges;

/**
 * The charges that a joining disk has copied and synced, so that those that several
 * members list are written once. Not thread-safe.
 */
final class CopiedCharges {

	private final Map<String, Set<Charge>> charges = new HashMap<>();

	private final Map<String, Long> retentionMs = new HashMap<>();

	/**
	 * Finds the charges that were not copied yet, or are to be retained for longer.
	 * @param listed the charges that a member lists
	 * @return those that have to be written, by program
	 */
	List<ProgramCharges> findNew(Collection<ProgramCharges> listed) {
		List<ProgramCharges> all = new ArrayList<>();
		for (ProgramCharges program : listed) {
			Set<Charge> known = this.charges.getOrDefault(program.getProgram(), Set.of());
			List<Charge> unknown = program.getChargeList().stream().filter((c) -> !known.contains(c)).toList();
			boolean longer = program.getRetentionMs() > this.retentionMs.getOrDefault(program.getProgram(), -1L);
			if (longer || !unknown.isEmpty()) {
				all.add(program.toBuilder().clearCharge().addAllCharge(unknown).build());
			}
		}
		return all;
	}

	/**
	 * Records charges as copied.
	 * @param program the charges of one program
	 */
	void add(ProgramCharges program) {
		this.charges.computeIfAbsent(program.getProgram(), (p) -> new HashSet<>()).addAll(program.getChargeList());
		this.retentionMs.merge(program.getProgram(), program.getRetentionMs(), Math::max);
	}

}
