/**
 * Which instances may get work: the platform's lagging list, corrected by what the links
 * to the instances say.
 */
package org.ragworthook.core.membership;
