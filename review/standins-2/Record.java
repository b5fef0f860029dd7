import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startedAt = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	double seconds() {
		return (System.nanoTime() - this.startedAt) / 1e9;
	}

	synchronized void log(String format, Object... arguments) {
		this.out.printf(Locale.ROOT, "%8.3f ", seconds());
		this.out.printf(Locale.ROOT, format + "%n", arguments);
		this.out.flush();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
