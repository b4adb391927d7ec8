package org.ragworthook.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Log lines under load and at the end of a process.
 */
class BoundedLogTests {

	/**
	 * A process stops right after its last line. Whatever the writing thread does at that
	 * moment, the line has to be there.
	 */
	@Test
	void shouldWriteEveryLineBeforeTheEnd() {
		for (int run = 0; run < 20; run++) {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			BoundedLog log = new BoundedLog(new PrintStream(bytes, false, StandardCharsets.UTF_8));
			log.add("INFO", "event=first", null);
			Thread.onSpinWait();
			log.add("INFO", "event=last", null);
			log.flush();
			assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=last");
			assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=first");
		}
	}

	/**
	 * Whoever reads the output has stalled. Threads that log go on, and the log says
	 * later how many lines are missing.
	 * @throws Exception if the test is interrupted
	 */
	@Test
	void shouldDropAndCountLinesWhileTheReaderStalls() throws Exception {
		CountDownLatch reading = new CountDownLatch(1);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		OutputStream stalled = new OutputStream() {

			@Override
			public void write(int value) throws IOException {
				write(new byte[] { (byte) value }, 0, 1);
			}

			@Override
			public void write(byte[] data, int from, int count) throws IOException {
				try {
					reading.await();
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
				bytes.write(data, from, count);
			}

		};
		BoundedLog log = new BoundedLog(new PrintStream(stalled, false, StandardCharsets.UTF_8));
		for (int line = 0; line < 20_000; line++) {
			log.add("INFO", "event=busy line=" + line, null);
		}
		reading.countDown();
		log.flush();
		log.add("INFO", "event=after", null);
		log.flush();
		assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=log_lines_dropped lines=");
		assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=after");
	}

}
