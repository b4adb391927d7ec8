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
 * The bounded log under load and at the end of a process.
 */
class BoundedLogTests {

	/**
	 * Guards against the loss of a process's last lines: it exits right after it has
	 * logged them, while the writer thread may be in any state.
	 */
	@Test
	void shouldWriteAllLinesOnFlush() {
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
	 * Guards against threads that block when they log because the reader of the output
	 * has stalled. Lines are dropped instead, and their number is logged later.
	 * @throws Exception if the test is interrupted
	 */
	@Test
	void shouldDropAndCountLinesWhileTheOutputIsBlocked() throws Exception {
		CountDownLatch unblocked = new CountDownLatch(1);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		OutputStream blocked = new OutputStream() {

			@Override
			public void write(int value) throws IOException {
				write(new byte[] { (byte) value }, 0, 1);
			}

			@Override
			public void write(byte[] data, int offset, int length) throws IOException {
				try {
					unblocked.await();
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
				bytes.write(data, offset, length);
			}

		};
		BoundedLog log = new BoundedLog(new PrintStream(blocked, false, StandardCharsets.UTF_8));
		for (int line = 0; line < 20_000; line++) {
			log.add("INFO", "event=busy line=" + line, null);
		}
		unblocked.countDown();
		log.flush();
		log.add("INFO", "event=after", null);
		log.flush();
		assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=log_lines_dropped lines=");
		assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=after");
	}

}
