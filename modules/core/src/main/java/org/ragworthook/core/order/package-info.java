/**
 * Orders to upstreams and the fence that keeps an old leader's orders from them.
 */
package org.ragworthook.core.order;
