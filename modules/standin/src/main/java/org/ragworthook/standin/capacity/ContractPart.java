package org.ragworthook.standin.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;

import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Revision;

/**
 * The contract in force at a process, by accounts or by models.
 */
final class ContractPart implements Part {

	private static final double BYTES_PER_KB = 1024;

	private static final int TARGET_MODELS = 30;

	private static final int FEW_ACCOUNTS = 10;

	private final boolean byAccounts;

	private ContractPart(boolean byAccounts) {
		this.byAccounts = byAccounts;
	}

	static ContractPart byAccounts() {
		return new ContractPart(true);
	}

	static ContractPart byModels() {
		return new ContractPart(false);
	}

	@Override
	public String name() {
		return this.byAccounts ? "contract-accounts" : "contract-models";
	}

	@Override
	public String counted() {
		return this.byAccounts ? "accounts" : "models";
	}

	@Override
	public List<Integer> sizes() {
		return this.byAccounts ? List.of(600, 6_000, 12_000) : List.of(10, 30, 300);
	}

	@Override
	public List<Quantity> measure(int size) {
		String text = this.byAccounts ? ContractTexts.of(size, TARGET_MODELS) : ContractTexts.of(FEW_ACCOUNTS, size);
		Revision revision = new Revision(1, "bench", "capacity", Instant.EPOCH, text);
		double heap = Gauge.heapKb(() -> inForce(new Revision(1, "bench", "capacity", Instant.EPOCH, copy(text))));
		double parse = Gauge.cpuMillis(() -> Contract.parse(1, revision.text()));
		int bytes = text.getBytes(StandardCharsets.UTF_8).length;
		return List.of(new Quantity("text, KB", bytes / BYTES_PER_KB), new Quantity("heap, KB", heap),
				new Quantity("processor time of a change, ms", parse));
	}

	private static ActiveContract inForce(Revision revision) {
		ActiveContract inForce = ActiveContract.empty();
		inForce.offer(revision);
		return inForce;
	}

	private static String copy(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
	}

}
