package org.ragworthook.core.contract;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class SliceTests {

	@Test
	void shouldSendOnlyTheVersionWhenTheServiceIsUnchanged() {
		SliceEncoder sender = SliceEncoder.of("desk");
		assertThat(sender.next(Contract.parse(1, ContractTexts.standard())).flatMap(Slice::section)).isPresent();
		assertThat(sender.next(Contract.parse(2, ContractTexts.withWeight(3))).orElseThrow().section()).isEmpty();
		assertThat(sender.next(Contract.parse(3, ContractTexts.withModelVersion("v2"))).flatMap(Slice::section))
			.isPresent();
		assertThat(sender.next(Contract.parse(2, ContractTexts.withWeight(3)))).isEmpty();
	}

	// A change is made and reverted. One entry sends all three versions, a slower one
	// only the first and the last, whose sections are equal. Its "unchanged" must not be
	// applied to the section of the middle version received from the other entry, or the
	// sidecar would run the model that was rolled back.
	@Test
	void shouldApplyUnchangedSectionsPerLink() {
		SliceEncoder fast = SliceEncoder.of("desk");
		SliceEncoder slow = SliceEncoder.of("desk");
		ActiveSlice active = ActiveSlice.empty();
		ActiveSlice.Receiver fromFast = active.receiver();
		ActiveSlice.Receiver fromSlow = active.receiver();
		Contract first = Contract.parse(1, ContractTexts.standard());
		Contract middle = Contract.parse(2, ContractTexts.withModelVersion("v2"));
		Contract last = Contract.parse(3, ContractTexts.standard());
		assertThat(fromFast.take(fast.next(first).orElseThrow())).isTrue();
		assertThat(fromSlow.take(slow.next(first).orElseThrow())).isFalse();
		assertThat(fromFast.take(fast.next(middle).orElseThrow())).isTrue();
		assertThat(version(active)).hasValue("v2");
		assertThat(fromSlow.take(slow.next(last).orElseThrow())).isTrue();
		assertThat(version(active)).hasValue("v1");
		assertThat(fromFast.take(fast.next(last).orElseThrow())).isFalse();
		assertThat(active.version()).isEqualTo(3);
	}

	private static Optional<String> version(ActiveSlice active) {
		return active.service().map((service) -> service.models().get(0).version());
	}

}
