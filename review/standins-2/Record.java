import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	long millis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	synchronized void line(String format, Object... values) {
		String text = String.format(Locale.ROOT, "%8d ", millis()) + String.format(Locale.ROOT, format, values);
		this.out.println(text);
		this.out.flush();
		if (!text.contains(" run ") && !text.contains(" stream ")) {
			System.out.println(text);
		}
	}

}
