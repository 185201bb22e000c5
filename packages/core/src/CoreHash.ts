/** Non-cryptographic hashes that give the same result on every instance. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Returns the 32-bit hash of a string. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** Returns the 64-bit hash of a string as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * Returns the `count` members with the highest rendezvous hash weights for `key`, highest first. When a
 * member joins or leaves, only the keys that it gains or loses are reassigned.
 */
export function selectOwners(
  key: string,
  members: readonly string[],
  count: number,
): readonly string[] {
  return members
    .map((member) => ({ member, weight: hash32(`${key}\u0000${member}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map((scored) => scored.member);
}
