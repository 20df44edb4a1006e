import {linearRegression, linearRegressionLine, rSquared} from 'simple-statistics';

/** One measured size and its cost. */
export type Point = readonly [size: number, cost: number];

/** Cost as a line over size, fitted to at least three points. */
export type Slope = {
	readonly name: string;
	readonly costUnit: string;
	readonly sizeUnit: string;
	readonly points: readonly Point[];
	readonly slope: number;
	readonly intercept: number;
	/** Largest distance of a point from the line, in the cost's unit. */
	readonly residual: number;
	readonly rSquared: number;
	/** Size to design for. */
	readonly designSize: number;
	/** Cost on the line at the size to design for. */
	readonly designCost: number;
};

/** What is measured over size. */
export type SlopeMeasure = {
	readonly name: string;
	readonly costUnit: string;
	readonly sizeUnit: string;
	readonly sizes: readonly number[];
	readonly designSize: number;
	readonly measure: (size: number) => number | Promise<number>;
};

/** Measures each size and fits the line. */
export async function measureSlope({measure, sizes, ...description}: SlopeMeasure): Promise<Slope> {
	const points: Array<[number, number]> = [];
	for (const size of sizes) {
		points.push([size, await measure(size)]);
	}

	const {m, b} = linearRegression(points);
	const line = linearRegressionLine({m, b});
	return {
		...description,
		points,
		slope: m,
		intercept: b,
		residual: Math.max(...points.map(([size, cost]) => Math.abs(cost - line(size)))),
		rSquared: rSquared(points, line),
		designCost: line(description.designSize),
	};
}
