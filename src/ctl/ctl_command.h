#pragma once
/** @file The commands of covectl. */

#include "ctl/ctl_options.h"

namespace cove {

ctl_report run_validate(ctl_options const& options); ///< validates a configuration file
ctl_report run_diff(ctl_options const& options);     ///< compares a file with the store
ctl_report run_submit(ctl_options const& options);   ///< submits a file as the next generation
ctl_report run_status(ctl_options const& options);   ///< shows generations of store and hosts
ctl_report run_wait(ctl_options const& options);     ///< waits until all hosts have a generation
ctl_report run_explain(ctl_options const& options);  ///< shows the entry hosts of a caller and why
ctl_report run_drain(ctl_options const& options);    ///< submits moves of all traffic off a zone

} // namespace cove
