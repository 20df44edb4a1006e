import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['test/**/*.test.ts'],
		setupFiles: ['test/setup.ts'],
		// Tests in real time share the machine with schedules that fill a core each.
		maxWorkers: 4,
		testTimeout: 20_000,
		hookTimeout: 20_000,
	},
});
