/**
 * Model checking of the core protocol: each module under {@code src/main/alloy} is
 * searched within its stated scope.
 */
package org.ragworthook.spec;
