/** One measured value, as it is printed. */
export type Measurement = {
	readonly name: string;
	readonly value: number;
	readonly unit: string;
	/** Value of the baseline in the same run. */
	readonly baseline?: number;
	/** Limit from the stated target. */
	readonly bound?: number;
	/** False when the bound is not met. */
	readonly ok: boolean;
};

/** A group of measurements that run together. */
export type Measure = {
	readonly name: string;
	/** True when the result does not depend on the machine: counts and virtual time with a fixed seed. */
	readonly deterministic: boolean;
	readonly run: () => Promise<readonly Measurement[]>;
};

/** Creates a measurement whose value must not be above the bound. */
export function atMost(name: string, value: number, unit: string, limits: {readonly bound: number; readonly baseline?: number}): Measurement {
	return {
		name, value, unit, ...limits, ok: value <= limits.bound,
	};
}

/** Creates a measurement whose value must not be below the bound. */
export function atLeast(name: string, value: number, unit: string, limits: {readonly bound: number; readonly baseline?: number}): Measurement {
	return {
		name, value, unit, ...limits, ok: value >= limits.bound,
	};
}
