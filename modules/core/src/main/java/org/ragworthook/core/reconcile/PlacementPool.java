package org.ragworthook.core.reconcile;

import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The upstreams of a service that have room for another model, by failure domain. An
 * upstream taken for one model is not available for the next.
 */
final class PlacementPool {

	private final Map<String, List<UpstreamView>> byDomain = new TreeMap<>();

	PlacementPool(List<UpstreamView> upstreams, StepLimits limits, StepTracker tracker) {
		for (UpstreamView view : upstreams) {
			List<UpstreamView> domain = this.byDomain.computeIfAbsent(view.failureDomain(),
					(name) -> new LinkedList<>());
			if (view.models() < limits.modelsPerUpstream() && !tracker.busy(view.id())) {
				domain.add(view);
			}
		}
		this.byDomain.values()
			.forEach((domain) -> domain
				.sort(Comparator.comparingInt(UpstreamView::models).thenComparing(UpstreamView::id)));
	}

	Set<String> domains() {
		return this.byDomain.keySet();
	}

	/**
	 * Removes and returns a matching upstream, preferring failure domains with few
	 * replicas.
	 * @param domains selects the eligible failure domains
	 * @param replicas the number of replicas by failure domain
	 * @param fits selects the eligible upstreams
	 * @return the upstream, or empty if none matches
	 */
	Optional<UpstreamView> take(Predicate<String> domains, Map<String, Integer> replicas,
			Predicate<UpstreamView> fits) {
		return this.byDomain.keySet()
			.stream()
			.filter(domains)
			.sorted(Comparator.comparingInt((domain) -> replicas.getOrDefault(domain, 0)))
			.map((domain) -> takeIn(domain, fits))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private Optional<UpstreamView> takeIn(String domain, Predicate<UpstreamView> fits) {
		for (Iterator<UpstreamView> views = this.byDomain.get(domain).iterator(); views.hasNext();) {
			UpstreamView view = views.next();
			if (fits.test(view)) {
				views.remove();
				return Optional.of(view);
			}
		}
		return Optional.empty();
	}

}
