import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) {
		try {
			this.out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void line(String format, Object... values) {
		this.out.printf(Locale.ROOT, "%8.3f ", seconds());
		this.out.printf(Locale.ROOT, format, values);
		this.out.println();
		this.out.flush();
	}

	/** Writes a line to the record and to standard output. */
	synchronized void say(String format, Object... values) {
		line(format, values);
		System.out.printf(Locale.ROOT, "%8.3f ", seconds());
		System.out.printf(Locale.ROOT, format, values);
		System.out.println();
	}

	@Override
	public void close() {
		this.out.close();
	}

}
