/** Stable hash functions for the assignment of keys; not for secrets. */
import {createHash} from 'node:crypto';

/** Hashes a text to an unsigned 32-bit number, the same on every machine and in every version. */
export function hashToUint32(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/** Hashes a text to a hexadecimal SHA-256 digest. */
export function hashToHex(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

/**
 * Sorts candidates by rendezvous hashing: every daemon with the same candidates computes the same order, and the loss of
 * one candidate moves only the keys for which it was first.
 */
export function rankByRendezvous<T>(key: string, candidates: readonly T[], idOf: (candidate: T) => string): readonly T[] {
	return candidates
		.map(candidate => ({candidate, id: idOf(candidate), weight: hashToUint32(`${key}/${idOf(candidate)}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
		.map(entry => entry.candidate);
}
