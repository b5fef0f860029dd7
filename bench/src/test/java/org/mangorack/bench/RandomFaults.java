package org.mangorack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.mangorack.bench.fault.LinkFault;

/**
 * Injects random faults, at most two at a time, and ends each of them after a random
 * period.
 */
final class RandomFaults implements Runnable {

	private final TestFleet fleet;

	private final Random random;

	private final long deadline;

	private final List<String> log = new ArrayList<>();

	RandomFaults(TestFleet fleet, long seed, long deadline) {
		this.fleet = fleet;
		this.random = new Random(seed);
		this.deadline = deadline;
	}

	List<String> log() {
		return this.log;
	}

	@Override
	public void run() {
		try {
			while (System.nanoTime() < this.deadline) {
				Fault first = randomFault();
				Fault second = (this.random.nextInt(3) == 0) ? randomFault() : null;
				first.begin();
				if (second != null) {
					TimeUnit.MILLISECONDS.sleep(this.random.nextInt(1500));
					second.begin();
				}
				TimeUnit.MILLISECONDS.sleep(500 + this.random.nextInt(4500));
				first.end();
				if (second != null) {
					second.end();
				}
				TimeUnit.MILLISECONDS.sleep(500 + this.random.nextInt(2500));
			}
		}
		catch (Exception ex) {
			this.log.add("fault injection stopped: " + ex);
		}
	}

	private Fault randomFault() {
		Member a = member();
		Member b = member();
		return switch (this.random.nextInt(9)) {
			case 0, 1 -> new Fault("kill " + a.name, () -> this.fleet.kill(a), () -> this.fleet.launch(a));
			case 2 ->
				new Fault("freeze " + a.name, () -> this.fleet.signal(a, "STOP"), () -> this.fleet.signal(a, "CONT"));
			case 3 -> new Fault("planned stop " + a.name, () -> this.fleet.terminate(a), () -> {
				this.fleet.awaitExit(a);
				this.fleet.launch(a);
			});
			case 4 -> new Fault("platform down", () -> this.fleet.platform.setDown(true),
					() -> this.fleet.platform.setDown(false));
			case 5 -> new Fault("platform loses answers", () -> this.fleet.platform.setLossShare(0.3),
					() -> this.fleet.platform.setLossShare(0));
			case 6 -> new Fault("platform slow", () -> this.fleet.platform.setDelayMillis(250),
					() -> this.fleet.platform.setDelayMillis(0));
			case 7 -> new Fault("cut " + a.name + " from platform", () -> this.fleet.cutPlatform(a, LinkFault.SILENT),
					() -> this.fleet.cutPlatform(a, LinkFault.NONE));
			default -> new Fault("one-way cut " + a.name + " to " + b.name,
					() -> this.fleet.cutPeers(a, b, LinkFault.SILENT, LinkFault.NONE),
					() -> this.fleet.cutPeers(a, b, LinkFault.NONE, LinkFault.NONE));
		};
	}

	private Member member() {
		List<Member> members = this.fleet.members();
		return members.get(this.random.nextInt(members.size()));
	}

	/**
	 * An action that may throw.
	 */
	private interface Action {

		void run() throws Exception;

	}

	/**
	 * A fault, with the actions that begin and end it.
	 */
	private final class Fault {

		private final String name;

		private final Action begin;

		private final Action end;

		private Fault(String name, Action begin, Action end) {
			this.name = name;
			this.begin = begin;
			this.end = end;
		}

		private void begin() throws Exception {
			RandomFaults.this.log.add(this.name);
			this.begin.run();
		}

		private void end() throws Exception {
			this.end.run();
		}

	}

}
