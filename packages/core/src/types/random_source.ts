/** Returns uniform numbers in [0, 1) from a seeded generator. */
export type RandomSource = () => number;
