package org.ragworthook.standin.control;

import java.util.Optional;

import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.ContractDiff;
import org.ragworthook.core.contract.Slice;
import org.ragworthook.core.contract.SliceEncoder;
import org.ragworthook.wire.message.ContractSlice;
import org.ragworthook.wire.message.Frame;

/**
 * What a text costs by its size: reading it, comparing two, and what a sidecar is sent.
 */
final class TextBench implements Runnable {

	private static final int MODELS = 30;

	private static final int SAMPLES = 60;

	@Override
	public void run() {
		System.out.println("Texts: time in ms, median / longest of " + SAMPLES + "; bytes of one frame to a sidecar");
		System.out.println("| accounts | text, bytes | read and check | diff | slice, first | slice, unchanged |");
		System.out.println("| ---: | ---: | ---: | ---: | ---: | ---: |");
		for (int accounts : new int[] { 60, 600, 6_000 }) {
			row(accounts);
		}
		System.out.println();
	}

	private static void row(int accounts) {
		String text = Texts.of(accounts, MODELS, 11_000, 4, 400);
		Contract before = Contract.parse(1_000_000, text);
		Contract after = Contract.parse(1_000_001, text.replaceFirst("\"weight\": 2", "\"weight\": 3"));
		SliceEncoder sender = SliceEncoder.of(Texts.SERVICE);
		int first = bytes(sender.next(before));
		int unchanged = bytes(sender.next(after));
		System.out.println(
				"| " + accounts + " | " + text.length() + " | " + Samples.of(SAMPLES, () -> Contract.parse(1, text))
						+ " | " + Samples.of(SAMPLES, () -> ContractDiff.between(Optional.of(before), after)) + " | "
						+ first + " | " + unchanged + " |");
	}

	private static int bytes(Optional<Slice> slice) {
		ContractSlice.Builder message = ContractSlice.newBuilder()
			.setVersion(slice.orElseThrow().version())
			.setUnchanged(slice.get().section().isEmpty());
		slice.get().section().ifPresent((section) -> message.setService(Texts.SERVICE).setJson(section));
		return Frame.newBuilder().setContractSlice(message).build().getSerializedSize();
	}

}
