#pragma once

#include <variant>

#include "scheduler/operator/config_confirm.h"
#include "scheduler/operator/config_get.h"
#include "scheduler/operator/config_plan.h"
#include "scheduler/operator/job_cancel.h"
#include "scheduler/operator/job_explain.h"
#include "scheduler/operator/job_get.h"
#include "scheduler/operator/job_list.h"
#include "scheduler/operator/job_submit.h"
#include "scheduler/operator/peer_view.h"
#include "scheduler/operator/plan_confirm_request.h"
#include "scheduler/operator/status_get.h"
#include "scheduler/operator/worker_list.h"

namespace clementineloom::scheduler {

/// @brief Request of an operator, gateway or peer to a scheduler.
using OperatorRequest =
    std::variant<ConfigGet, ConfigPlan, ConfigConfirm, PlanConfirmRequest, JobSubmit, JobGet,
                 JobList, JobCancel, JobExplain, WorkerList, StatusGet, PeerView>;

}  // namespace clementineloom::scheduler
