import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** A keeper whose disk was full for a while. */
final class Case4 {

	/** The room of the disk that fills up: one file of the log can have as many blocks of the shell. */
	private static final int BLOCKS = 600;

	private Case4() {
	}

	public static void main(String[] args) {
		Run.main(args, Case4::play);
	}

	private static int play(Run run) throws Exception {
		// TROUBLE=room is a second control: all the same, but the disk never fills up.
		boolean fills = run.trouble && !"room".equals(System.getenv("TROUBLE"));
		run.configure();
		new Server(run, "i-engine-1", "engines", run.host(2), true, 3);
		new Server(run, "i-engine-2", "engines", run.host(3), true, 3);
		Run.Node a = run.node("keeper", 1);
		a.fileBlocks = fills ? BLOCKS : 0;
		for (int i = 2; i <= 4; i++) {
			run.node("keeper", i);
		}
		run.startAll(0, 2);
		Run.Node b = run.keepers().get(1);
		Run.Node c = run.keepers().get(2);
		// Turns fill the disk of A.
		String input = "x".repeat(20_000);
		long size = -1;
		int turns = 0;
		for (; (turns < 120) && (!fills || (logSize(a) != size) || (size < 200_000)); turns++) {
			size = logSize(a);
			for (int i = 0; i < 3; i++) {
				run.turn(run.entry(1 + (i % 2)), run.newId(), null, input);
			}
			if (!fills && (turns == 10)) {
				break;
			}
		}
		if (fills) {
			run.record("the log of " + a.name + " does not grow beyond " + size + " bytes; write failures: "
					+ a.log().lines().filter((l) -> l.contains("File too large")).count());
			if (a.log().lines().noneMatch((l) -> l.contains("File too large"))) {
				return Run.NOT_RUN;
			}
			Run.sleep(1000);
			int status = new ProcessBuilder("prlimit", "--pid", Long.toString(a.process.pid()), "--fsize=unlimited").start()
				.waitFor();
			run.record("the disk of " + a.name + " has room again");
			if (status != 0) {
				return Run.NOT_RUN;
			}
			a.fileBlocks = 0;
		}
		Run.sleep(8000);
		// A store machine is killed for 2.8 s while turns are made.
		if (run.trouble) {
			c.kill();
		}
		long begin = System.nanoTime();
		Run.sleep(300);
		List<Run.Begun> begun = run.beginPrograms(60, 2000);
		if (begun.size() < 20) {
			run.record("too few programs could begin");
			return Run.NOT_RUN;
		}
		run.record("the log of " + a.name + " has " + logSize(a) + " bytes");
		Run.sleep(Math.max(0, 2800 - ((System.nanoTime() - begin) / 1_000_000)));
		if (run.trouble) {
			c.start();
		}
		Run.sleep(8000);
		// A is killed and back at once; its disk stays.
		if (run.trouble) {
			a.kill();
			a.start();
		}
		Run.sleep(8000);
		// The one loss of a disk that is tolerated.
		if (run.trouble) {
			b.kill();
			b.wipe();
			Run.sleep(1000);
			b.start();
		}
		Run.sleep(5000);
		return (run.countMissing(begun) > 0) ? Run.BROKEN : Run.HELD;
	}

	private static long logSize(Run.Node node) throws IOException {
		long size = 0;
		try (Stream<Path> files = Files.list(node.data().resolve("log"))) {
			for (Path file : files.toList()) {
				size += Files.size(file);
			}
		}
		return size;
	}

}
