import {defineConfig} from 'vitest/config';

/** Tests that put a process under more load than it can serve; each runs alone. */
const crowdTests = 'test/crowds/**/*.test.ts';

export default defineConfig({
	test: {
		setupFiles: ['test/setup.ts'],
		testTimeout: 20_000,
		hookTimeout: 20_000,
		projects: [
			{
				extends: true,
				test: {
					name: 'tests',
					include: ['test/**/*.test.ts'],
					exclude: [crowdTests],
					// Tests in real time share the machine with schedules that fill a core each.
					maxWorkers: 4,
					sequence: {groupOrder: 0},
				},
			},
			{
				extends: true,
				test: {
					name: 'crowds',
					include: [crowdTests],
					fileParallelism: false,
					maxWorkers: 1,
					sequence: {groupOrder: 1},
				},
			},
		],
	},
});
